/** One thing that is wrong with an input, with its place. */

/** A finding of a validation; findings are collected and shown together. */
export interface Finding {
  /** JSON pointer of the value, such as `/rules/0/when`. */
  readonly path: string;
  /** Line in the source text, from 1; null when the text is not known. */
  readonly line: number | null;
  /** What is wrong and what to do, in sentence case. */
  readonly message: string;
}

/** Returns the findings as text, a line each. */
export function format(findings: readonly Finding[]): string {
  return findings
    .map(({ path, line, message }) => {
      const place = line === null ? path : `line ${line}, ${path}`;
      return `${place || "/"}: ${message}`;
    })
    .join("\n");
}
