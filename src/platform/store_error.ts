/** What may go wrong with a call of the object API. */

/** A failed call, by what the caller knows of its effect. */
export type StoreError =
  | {
      /** The call had no effect. */
      readonly type: "unavailable";
      readonly sentence: string;
      readonly retryAfterMs: number;
    }
  | {
      /** The call may have taken effect: its answer was lost. */
      readonly type: "answer-lost";
      readonly sentence: string;
    }
  | { readonly type: "not-found" }
  | {
      /** Another version is stored than the one that was expected. */
      readonly type: "conflict";
    };

/** Returns the error as a sentence with what to do. */
export function describe(error: StoreError): string {
  switch (error.type) {
    case "unavailable":
      return `Object API is unavailable: ${error.sentence}`;
    case "answer-lost":
      return `Object API gave no answer: ${error.sentence}`;
    case "not-found":
      return "Object does not exist";
    case "conflict":
      return "Another version is in force; read it and apply again";
    default:
      return error satisfies never;
  }
}
