/** Compares two configurations value by value. */
import type {Configuration} from '../configuration/index.js';

/** A scalar value that was added, removed or changed. */
export interface ConfigurationChange {
  /** Path in which list items are identified by name, such as `services.booking.targetReplicas`. */
  readonly path: string;
  /** Previous value; undefined if the value was added. */
  readonly before?: string;
  /** New value; undefined if the value was removed. */
  readonly after?: string;
}

/**
 * Returns the differences between two configurations, ordered by path.
 * @param before - Configuration in force; if undefined, every value of the new one counts as added.
 */
export function compareConfigurations(
  before: Configuration | undefined,
  after: Configuration,
): readonly ConfigurationChange[] {
  const oldValues = flattenValues(before);
  const newValues = flattenValues(after);
  const paths = [...new Set([...oldValues.keys(), ...newValues.keys()])].sort();
  return paths
    .map(path => ({path, before: oldValues.get(path), after: newValues.get(path)}))
    .filter(change => change.before !== change.after);
}

/** Formats a change as a line that starts with `+` for added, `-` for removed or `~` for changed. */
export function formatChange({path, before, after}: ConfigurationChange): string {
  if (before === undefined) return `+ ${path}: ${after}`;
  if (after === undefined) return `- ${path}: ${before}`;
  return `~ ${path}: ${before} -> ${after}`;
}

/** Returns all scalar values by path. */
function flattenValues(value: unknown): ReadonlyMap<string, string> {
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

/** Returns the name of a list item; with indices, inserting an item would change the paths of all later ones. */
function getItemName(item: unknown): string | undefined {
  if (typeof item !== 'object' || item === null || Array.isArray(item)) return undefined;
  const {name, machineClass, sha256, methods, pathPrefix} = item as {
    readonly [field: string]: unknown;
  };
  if (Array.isArray(methods)) return `${methods.join('+')} ${String(pathPrefix)}`;
  const itemName = name ?? machineClass ?? sha256;
  return typeof itemName === 'string' ? itemName : undefined;
}
