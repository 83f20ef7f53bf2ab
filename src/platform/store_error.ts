/** Errors of calls to the object API. */

/** A failed call, by what is known about its effect. */
export type StoreError =
  | {
      /** The call had no effect. */
      readonly type: "unavailable";
      readonly message: string;
      readonly retryAfterMs: number;
    }
  | {
      /** The call may have taken effect: its response was lost. */
      readonly type: "response-lost";
      readonly message: string;
    }
  | { readonly type: "not-found" }
  | {
      /** The stored version is not the one that the caller expected. */
      readonly type: "conflict";
    };

/** Returns the error as text for operators. */
export function describeStoreError(error: StoreError): string {
  switch (error.type) {
    case "unavailable":
      return `Object API is unavailable: ${error.message}`;
    case "response-lost":
      return `Object API gave no answer: ${error.message}`;
    case "not-found":
      return "Object does not exist";
    case "conflict":
      return "Another version is in force; read it and apply again";
    default:
      return error satisfies never;
  }
}
