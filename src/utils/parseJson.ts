/** JSON parsing that doesn't throw. */

/** Parses UTF-8 encoded JSON; returns undefined if it is invalid. */
export function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
