/** Checks a configuration before it is published. */
import {configurationSchema, type Configuration} from '../Configuration.js';
import type {ConfigurationFinding} from './ConfigurationFinding.js';
import {findContradictions} from './findContradictions.js';
import {findNameErrors} from './findNameErrors.js';
import {findSchemaViolations} from './findSchemaViolations.js';
import {findUnusedEntries} from './findUnusedEntries.js';

/** Result of `checkConfiguration`. */
export interface ConfigurationCheck {
  /** Undefined if the value doesn't fit the schema. */
  readonly configuration: Configuration | undefined;
  readonly findings: readonly ConfigurationFinding[];
}

/**
 * Checks a configuration. Entries are checked against each other only if all of them fit the schema. A conflict that
 * the questionnaire rejects (`checkAnswers`) is an error here too.
 * @param value - Parsed JSON of a configuration file.
 * @param nowMs - Current Unix time in milliseconds, against which the expiry of keys is checked.
 */
export function checkConfiguration(value: unknown, nowMs: number): ConfigurationCheck {
  const violations = findSchemaViolations(value);
  if (violations.length > 0) return {configuration: undefined, findings: violations};
  const configuration = configurationSchema.parse(value);
  return {
    configuration,
    findings: [
      ...findNameErrors(configuration),
      ...findUnusedEntries(configuration, nowMs),
      ...findContradictions(configuration),
    ],
  };
}
