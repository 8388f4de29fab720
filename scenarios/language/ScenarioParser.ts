/** Reads scenario files; what the language doesn't know is refused with file and line. */
import {readFile} from 'node:fs/promises';
import {
  isMap,
  isPair,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument,
  type Document,
  type Node,
} from 'yaml';
import type {z} from 'zod';
import {scenarioSchema, type Scenario} from './scenarioSchema.js';

type Issue = z.core.$ZodIssue;
type Path = readonly PropertyKey[];

/** A scenario file that the language doesn't know. */
export class ScenarioError extends Error {}

/** Reads a scenario file. */
export async function readScenario(path: string): Promise<Scenario> {
  return parseScenario(await readFile(path, 'utf8'), path);
}

/**
 * Parses a scenario.
 * @param text - YAML.
 * @param path - File to name in messages.
 */
export function parseScenario(text: string, path: string): Scenario {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  const [problem] = document.errors;
  if (problem)
    throw new ScenarioError(`${path}:${problem.linePos?.[0].line ?? 1}: ${problem.code}`);
  const parsed = scenarioSchema.safeParse(document.toJS());
  if (!parsed.success) throw createIssueError(parsed.error.issues[0], document, lines, path);
  checkKeys(parsed.data.steps, 'steps', document, lines, path);
  checkKeys(parsed.data.expect, 'expect', document, lines, path);
  return parsed.data;
}

/** A step or an expectation says one thing. */
function checkKeys(
  items: readonly object[],
  name: string,
  document: Document,
  lines: LineCounter,
  path: string,
): void {
  items.forEach((item, index) => {
    const keys = Object.keys(item).filter(key => key !== 'as');
    if (keys.length === 1) return;
    const line = getLine(document, [name, index], lines);
    throw new ScenarioError(
      `${path}:${line}: says ${keys.length} things (${keys.join(', ')}) instead of one`,
    );
  });
}

function createIssueError(
  issue: Issue,
  document: Document,
  lines: LineCounter,
  path: string,
): ScenarioError {
  const isUnknown = issue.code === 'unrecognized_keys';
  const at = isUnknown ? [...issue.path, issue.keys[0]] : issue.path;
  const what = isUnknown ? `unknown "${issue.keys[0]}"` : issue.message;
  return new ScenarioError(`${path}:${getLine(document, at, lines)}: ${at.join('.')}: ${what}`);
}

/** Returns the line of the deepest node on the path that is there. */
function getLine(document: Document, path: Path, lines: LineCounter): number {
  let node: unknown = document.contents;
  let offset = 0;
  for (const key of path) {
    const next = getChild(node, key);
    if (!next) break;
    offset = next.offset;
    node = next.value;
  }
  return lines.linePos(offset).line;
}

function getChild(node: unknown, key: PropertyKey) {
  if (isSeq(node)) {
    const value = node.items[Number(key)] as Node | undefined;
    return value && {value, offset: value.range?.[0] ?? 0};
  }
  if (!isMap(node)) return undefined;
  const pair = node.items.find(
    item => isPair(item) && isScalar(item.key) && item.key.value === key,
  );
  if (!pair || !isScalar(pair.key)) return undefined;
  return {value: pair.value, offset: pair.key.range?.[0] ?? 0};
}
