/** Validation errors with their position in the input. */

/** One validation error; all errors of an input are reported together. */
export interface Finding {
  /** JSON pointer of the value, such as `/rules/0/when`. */
  readonly path: string;
  /** Line in the source text, counted from 1; null without source text. */
  readonly line: number | null;
  /** What is wrong and what to do, in sentence case. */
  readonly message: string;
}

/** Returns the findings as text, one per line. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings
    .map(({ path, line, message }) => {
      const place = line === null ? path : `line ${line}, ${path}`;
      return `${place || "/"}: ${message}`;
    })
    .join("\n");
}
