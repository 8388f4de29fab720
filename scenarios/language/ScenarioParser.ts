/** Parser of scenario files; reports errors with file and line. */
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

/** Syntax or schema error in a scenario file; the message starts with `FILE:LINE:`. */
export class ScenarioError extends Error {}

/** Reads and parses a scenario file; throws a `ScenarioError` if it is invalid. */
export async function readScenario(path: string): Promise<Scenario> {
  return parseScenario(await readFile(path, 'utf8'), path);
}

/**
 * Parses the YAML text of a scenario; throws a `ScenarioError` if it is invalid.
 * @param path - File name for error messages.
 */
export function parseScenario(text: string, path: string): Scenario {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  const [syntaxError] = document.errors;
  if (syntaxError)
    throw new ScenarioError(`${path}:${syntaxError.linePos?.[0].line ?? 1}: ${syntaxError.code}`);
  const parsed = scenarioSchema.safeParse(document.toJS());
  if (!parsed.success) throw createIssueError(parsed.error.issues[0], document, lines, path);
  checkSingleKey(parsed.data.steps, 'steps', document, lines, path);
  checkSingleKey(parsed.data.expect, 'expect', document, lines, path);
  return parsed.data;
}

/** Throws if an item doesn't have exactly one key besides `as`: a step's or an expectation's name. */
function checkSingleKey(
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
      `${path}:${line}: has ${keys.length} keys (${keys.join(', ')}) instead of one`,
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
  const issuePath = isUnknown ? [...issue.path, issue.keys[0]] : issue.path;
  const description = isUnknown ? `unknown "${issue.keys[0]}"` : issue.message;
  return new ScenarioError(
    `${path}:${getLine(document, issuePath, lines)}: ${issuePath.join('.')}: ${description}`,
  );
}

/** Returns the line of the deepest existing node on a path. */
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
