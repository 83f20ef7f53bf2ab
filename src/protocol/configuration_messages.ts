/** Messages that distribute the configuration. */

/** Requests the configuration that is active at the receiver. */
export interface ConfigurationRequest {
  readonly type: "configuration-request";
}

/** A configuration as the list of its chunks' names. */
export interface Configuration {
  readonly type: "configuration";
  readonly version: number;
  readonly names: readonly string[];
}

/** Requests chunks of a configuration by name. */
export interface ChunksRequest {
  readonly type: "chunks-request";
  readonly names: readonly string[];
}

/** Chunks of a configuration, as JSON texts. */
export interface Chunks {
  readonly type: "chunks";
  readonly texts: readonly string[];
}
