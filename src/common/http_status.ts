/** Which status codes a response can have. */

/** Codes from 100 to 199 announce another response. */
const LEAST_FINAL_STATUS = 200;
/** RFC 9110, section 15: codes outside the range 100 to 599 are invalid. */
const LEAST_STATUS = 100;
const GREATEST_STATUS = 599;

/** Whether a status code is valid, that of an informational response included. */
export function isValidStatus(status: number): boolean {
  return status >= LEAST_STATUS && status <= GREATEST_STATUS;
}

/** Whether a status code announces another response. */
export function isInformational(status: number): boolean {
  return isValidStatus(status) && status < LEAST_FINAL_STATUS;
}
