/** Findings of the check of a configuration. */

/**
 * What a finding is about:
 *
 * - `schema`: a value that the schema rejects.
 * - `unknown-reference`: a reference to something that the configuration doesn't contain.
 * - `duplicate`: something that is listed twice.
 * - `never-matches`: an entry that no request can use.
 * - `contradiction`: values that contradict each other.
 * - `other-deployment`: the configuration of another deployment than the one in force.
 */
export type FindingKind =
  | 'schema'
  | 'unknown-reference'
  | 'duplicate'
  | 'never-matches'
  | 'contradiction'
  | 'other-deployment';

/** A problem of a configuration. */
export interface ConfigurationFinding {
  /** A configuration with an error must not be published; a warning may be intended. */
  readonly severity: 'error' | 'warning';
  readonly kind: FindingKind;
  /** Path in which list items are identified by name, such as `services.booking.targetReplicas`. */
  readonly path: string;
  /** Includes the value; completes the line `PATH: ...`. */
  readonly message: string;
}

/** Formats a finding as one line, such as `services.booking.targetReplicas: 1 is too few ...`. */
export function formatFinding({path, message}: ConfigurationFinding): string {
  return `${path}: ${message}`;
}

/** Creates a finding of severity `error`. */
export function createError(
  kind: FindingKind,
  path: string,
  message: string,
): ConfigurationFinding {
  return {severity: 'error', kind, path, message};
}

/** Creates a finding of severity `warning`. */
export function createWarning(
  kind: FindingKind,
  path: string,
  message: string,
): ConfigurationFinding {
  return {severity: 'warning', kind, path, message};
}
