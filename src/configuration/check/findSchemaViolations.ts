/** Finds the values of a configuration that the schema rejects. */
import {z} from 'zod';
import {configurationSchema} from '../Configuration.js';
import {createError, type ConfigurationFinding} from './ConfigurationFinding.js';

/** Longer values are truncated in messages. */
const MAX_VALUE_LENGTH = 80;
/** Field whose value isn't shown, because a bearer key may have been entered instead of its hash. */
const KEY_FIELD = 'sha256';
const ROOT_PATH = 'configuration';

/**
 * Returns one error for each value that the schema rejects, empty if there are none.
 * @param value - Parsed JSON of a configuration file.
 */
export function findSchemaViolations(value: unknown): readonly ConfigurationFinding[] {
  const parsed = configurationSchema.safeParse(value);
  if (parsed.success) return [];
  return parsed.error.issues.flatMap(issue => toFindings(issue, value));
}

function toFindings(issue: z.core.$ZodIssue, root: unknown): readonly ConfigurationFinding[] {
  const {path, value} = locate(issue.path, root);
  if (issue.code !== 'unrecognized_keys') {
    const shownValue = issue.path.at(-1) === KEY_FIELD ? 'the given value' : formatValue(value);
    return [createError('schema', path.join('.') || ROOT_PATH, `${shownValue}: ${issue.message}`)];
  }
  const allowedText = getFieldNames(issue.path).join(', ');
  return issue.keys.map(key =>
    createError(
      'schema',
      [...path, key].join('.'),
      `is not a field here; the fields are ${allowedText}`,
    ),
  );
}

/** Returns the value at a path, and the path with the names of list items instead of their indices. */
function locate(steps: readonly PropertyKey[], root: unknown) {
  const path: string[] = [];
  let value = root;
  for (const step of steps) {
    value = getMember(value, step);
    const name = getMember(value, 'name') ?? getMember(value, 'machineClass');
    path.push(typeof step === 'number' && typeof name === 'string' ? name : String(step));
  }
  return {path, value};
}

function getMember(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Readonly<Record<PropertyKey, unknown>>)[key];
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'missing';
  const text = JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}...` : text;
}

/** Returns the names of the fields that the schema allows for the object at a path. */
function getFieldNames(steps: readonly PropertyKey[]): readonly string[] {
  let schema: unknown = configurationSchema;
  for (const step of steps) {
    if (schema instanceof z.ZodArray) schema = schema.element;
    else if (schema instanceof z.ZodObject) schema = getMember(schema.shape, step);
  }
  return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
}
