/** The difference between two configurations, value by value. */
import type {Configuration} from '../configuration/index.js';

/** A value that two configurations don't share. */
export interface ConfigurationChange {
  /** Path with the names of list items, such as `services.booking.targetReplicas`. */
  readonly path: string;
  /** Absent where the value is new. */
  readonly before?: string;
  /** Absent where the value is gone. */
  readonly after?: string;
}

/**
 * Returns the values that differ, ordered by path.
 * @param before - Configuration in force; undefined for none.
 * @param after - Configuration that is to replace it.
 */
export function compareConfigurations(
  before: Configuration | undefined,
  after: Configuration,
): readonly ConfigurationChange[] {
  const oldValues = flatten(before);
  const newValues = flatten(after);
  const paths = [...new Set([...oldValues.keys(), ...newValues.keys()])].sort();
  return paths
    .map(path => ({path, before: oldValues.get(path), after: newValues.get(path)}))
    .filter(change => change.before !== change.after);
}

/** Returns a change as a line. */
export function formatChange({path, before, after}: ConfigurationChange): string {
  if (before === undefined) return `+ ${path}: ${after}`;
  if (after === undefined) return `- ${path}: ${before}`;
  return `~ ${path}: ${before} -> ${after}`;
}

function flatten(value: unknown): ReadonlyMap<string, string> {
  const values = new Map<string, string>();
  const visit = (path: readonly string[], current: unknown): void => {
    if (current === undefined) return;
    if (typeof current !== 'object' || current === null) {
      values.set(path.join('.'), String(current));
      return;
    }
    for (const [key, member] of Object.entries(current)) {
      visit([...path, getItemName(member) ?? key], member);
    }
  };
  visit([], value);
  return values;
}

/** List items are told apart by their names, so that a new one in the middle is one change. */
function getItemName(item: unknown): string | undefined {
  if (typeof item !== 'object' || item === null || Array.isArray(item)) return undefined;
  const {name, machineClass, sha256, methods, pathPrefix} = item as {
    readonly [field: string]: unknown;
  };
  if (Array.isArray(methods)) return `${methods.join('+')} ${String(pathPrefix)}`;
  const found = name ?? machineClass ?? sha256;
  return typeof found === 'string' ? found : undefined;
}
