/** `buckthornctl explain`: reconstructs from the gateways' log files why requests failed; needs no running system. */
import {readFile} from 'node:fs/promises';
import {command, flag, restPositionals, string} from 'cmd-ts';
import {ServingError} from '../errors/index.js';
import {
  explainRequest,
  formatFailureGroup,
  parseLogs,
  summarizeFailures,
  type LoggedEvent,
} from '../explain/index.js';
import type {RunnableCommand} from '../settings/index.js';
import type {OperatorContext} from './OperatorContext.js';

/** Builds the `explain` command: the history of one request, or with `--summary` all failures grouped by cause. */
export function createExplainCommand(context: OperatorContext): RunnableCommand {
  const built = command({
    name: 'explain',
    description:
      "Shows the history of one request from the gateways' logs: explain ID FILE...; or groups all failures: explain --summary FILE...",
    args: {
      summary: flag({long: 'summary', description: 'Groups all failed requests by their cause'}),
      positionalArguments: restPositionals({
        type: string,
        displayName: 'ID FILE... or, with --summary, FILE',
      }),
    },
    handler: ({summary, positionalArguments}) => explain(context, summary, positionalArguments),
  });
  return built as unknown as RunnableCommand;
}

async function explain(
  context: OperatorContext,
  isSummary: boolean,
  positionalArguments: readonly string[],
): Promise<void> {
  const [requestId, files] = isSummary
    ? ['', positionalArguments]
    : [positionalArguments[0], positionalArguments.slice(1)];
  if (files.length === 0) {
    throw new ServingError('explain needs an id and log files, or --summary and log files', {
      kind: 'invalid-settings',
    });
  }
  const logs = parseLogs(await Promise.all(files.map(readLog)));
  if (logs.unreadableLines > 0) {
    context.writeProgress(`${logs.unreadableLines} lines are no log lines and were left out`);
  }
  const lines = isSummary ? summarize(logs.events) : explainOrThrow(logs.events, requestId);
  for (const line of lines) context.writeLine(line);
}

async function readLog(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (cause) {
    throw new ServingError(`can't read log ${path}: ${String(cause)}`, {
      kind: 'invalid-settings',
      cause,
    });
  }
}

function summarize(events: readonly LoggedEvent[]): readonly string[] {
  const lines = summarizeFailures(events).map(formatFailureGroup);
  return lines.length > 0 ? lines : ['no request failed'];
}

function explainOrThrow(events: readonly LoggedEvent[], requestId: string): readonly string[] {
  const lines = explainRequest(events, requestId);
  if (lines.length > 0) return lines;
  throw new ServingError(`no log names request ${requestId}`, {kind: 'not-found'});
}
