/** Reads JSON that may be broken. */

/**
 * Returns the value of a JSON text; undefined where it is none.
 * @param bytes - The text.
 */
export function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
