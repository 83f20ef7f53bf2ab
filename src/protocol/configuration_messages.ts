/** Messages that spread the configuration. */

/** Asks for the configuration in force at the receiver. */
export interface ConfigurationRequest {
  readonly type: "configuration-request";
}

/** A configuration by the names of its chunks. */
export interface Configuration {
  readonly type: "configuration";
  readonly version: number;
  readonly names: readonly string[];
}

/** Asks for chunks of a configuration. */
export interface ChunksRequest {
  readonly type: "chunks-request";
  readonly names: readonly string[];
}

/** Chunks of a configuration, as JSON texts. */
export interface Chunks {
  readonly type: "chunks";
  readonly texts: readonly string[];
}
