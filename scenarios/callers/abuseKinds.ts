/** Kinds of malformed requests that an abusive caller sends. */

/** Kinds of abuse that a scenario file can list. */
export const ABUSE_KINDS = [
  /** Sends fewer bytes than its `content-length` and closes the connection. */
  'truncated-body',
  /** Sends truncated JSON with a correct `content-length`. */
  'broken-json',
  /** Announces a `content-length` over the entry's limit. */
  'oversize-body',
  /** Sends a chunked body over the entry's limit. */
  'oversize-chunks',
  /** Stops sending in the middle of the body and keeps the connection open. */
  'slow-body',
  /** Sends headers over the entry's size limit. */
  'long-headers',
  /** Stops sending in the middle of the headers and keeps the connection open. */
  'slow-headers',
] as const;

/** One of `ABUSE_KINDS`. */
export type AbuseKind = (typeof ABUSE_KINDS)[number];
