/** What an abusive caller does, by name. */

/** Kinds of abuse that a scenario may name. */
export const ABUSE_KINDS = [
  /** Promises more bytes than it sends, and closes. */
  'truncated-body',
  /** Sends JSON that breaks off, and waits for the answer. */
  'broken-json',
  /** Announces a body beyond the entry's limit. */
  'oversize-body',
  /** Sends a body beyond the limit without announcing its length. */
  'oversize-chunks',
  /** Stops in the middle of its body. */
  'slow-body',
  /** Sends more header bytes than an entry reads. */
  'long-headers',
  /** Stops in the middle of its headers. */
  'slow-headers',
] as const;

/** A kind of abuse. */
export type AbuseKind = (typeof ABUSE_KINDS)[number];
