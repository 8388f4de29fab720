/** `buckthornctl move`: starts version moves, shows their state, waits for their end and aborts them. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {subcommands} from 'cmd-ts';
import type {Move} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {isMoveEnded} from '../folds/index.js';
import {parseNonEmptyString, createIntegerParser, type RunnableCommand} from '../settings/index.js';
import type {FleetStream} from './FleetStream.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withConfigurationStream, withFleetStream, type OperatorContext} from './OperatorContext.js';
import {parseDeadline} from './parseDeadline.js';
import {JSON_FLAG, LOG_SETTINGS, OPERATOR_SETTING, type LogSettings} from './OperatorSettings.js';
import {formatDuration, formatTimestamp, formatTable} from './formatTable.js';

const MOVE_POLL_MS = 200;
const MAX_WAIT_MS = 7 * 24 * 3_600_000;
const MOVE_ARGUMENT = {move: 'Id of the move, or the name of its service'} as const;
const SERVICE_ARGUMENT = {service: 'Name of the service'} as const;
const HEADINGS = ['MOVE', 'SERVICE', 'FROM', 'TO', 'PHASE', 'SHARE %', 'DEADLINE', 'REASON'];

/** Builds the `move` commands: `start`, `status`, `wait` and `abort`. */
export function createMoveCommands(context: OperatorContext): RunnableCommand {
  return subcommands({
    name: 'move',
    description: "Moves a service's traffic from one version to another by a deadline",
    cmds: {
      start: createStartCommand(context),
      status: createStatusCommand(context),
      wait: createWaitCommand(context),
      abort: createAbortCommand(context),
    },
  }) as unknown as RunnableCommand;
}

/**
 * Returns the version that gets all traffic of a service: the target of its newest move if that is done, else the
 * version in the configuration. The configuration may still name the version from before the move.
 * @param moves - In the order of `FleetStream.getMoves`, newest first for each service.
 * @throws ServingError of kind `invalid-settings` if the configuration divides the traffic among several versions.
 */
export function getCurrentVersion(service: Service, moves: readonly Move[]): string {
  const newestMove = moves.find(move => move.service === service.name);
  if (newestMove?.phase === 'done') return newestMove.toVersion;
  const versions = service.versions.filter(({sharePercent}) => sharePercent > 0);
  if (versions.length === 1 && versions[0]) return versions[0].name;
  throw new ServingError(
    `--from (BUCKTHORN_FROM) is missing: ${service.name} has traffic on ` +
      versions.map(({name}) => name).join(' and '),
    {kind: 'invalid-settings'},
  );
}

/**
 * Returns the first move with an id or of a service.
 * @param idOrService - Id of the move or name of its service.
 * @throws ServingError of kind `not-found`.
 */
export function getMoveOrThrow(moves: readonly Move[], idOrService: string): Move {
  const move = moves.find(({moveId, service}) => moveId === idOrService || service === idOrService);
  if (!move) throw new ServingError(`there is no move "${idOrService}"`, {kind: 'not-found'});
  return move;
}

function createStartCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'start',
    description:
      'Starts a move; both versions run in parallel while the share of the new one rises',
    settings: {
      ...LOG_SETTINGS,
      operator: OPERATOR_SETTING,
      to: {
        flag: 'to',
        variable: 'BUCKTHORN_TO',
        description: 'Version that is to get all traffic',
        parse: parseNonEmptyString,
      },
      from: {
        flag: 'from',
        variable: 'BUCKTHORN_FROM',
        description: 'Version that gets the traffic now; determined automatically if left out',
        parse: text => text,
        defaultText: '',
      },
      deadline: {
        flag: 'deadline',
        variable: 'BUCKTHORN_DEADLINE',
        description:
          'Time by which the move must be done: 45m, 2h, or a timestamp such as 2027-01-31T18:00Z',
        parse: parseNonEmptyString,
      },
    },
    flags: JSON_FLAG,
    commandArguments: SERVICE_ARGUMENT,
    run: async settings => {
      const nowMs = context.getNowMs();
      const deadlineAtMs = parseDeadline(settings.deadline, nowMs);
      const service = await readService(settings, context, settings.commandArguments.service);
      await withFleetStream(settings, context, async stream => {
        const fromVersion = settings.from || getCurrentVersion(service, stream.getMoves());
        const moveId = `${service.name}-${settings.to}-${randomUUID().slice(0, 8)}`;
        const offset = await stream.requestMove({
          moveId,
          service: service.name,
          fromVersion,
          toVersion: settings.to,
          requestedAtMs: nowMs,
          deadlineAtMs,
          requestedBy: settings.operator,
        });
        if (settings.json) {
          context.writeLine(JSON.stringify(getMoveOrThrow(stream.getMoves(), moveId)));
          return;
        }
        context.writeLine(
          `accepted at offset ${offset}: ${moveId} moves ${service.name} from ${fromVersion} to ` +
            `${settings.to} within ${formatDuration(deadlineAtMs - nowMs)}`,
        );
        context.writeLine(`next: buckthornctl move wait ${moveId}`);
      });
    },
  });
}

function createStatusCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'status',
    description: 'Shows the moves under way and the ended moves of each service',
    settings: LOG_SETTINGS,
    flags: JSON_FLAG,
    commandArguments: {},
    run: settings =>
      withFleetStream(settings, context, async stream => {
        const moves = stream.getMoves();
        if (settings.json) {
          context.writeLine(JSON.stringify(moves, undefined, 2));
          return;
        }
        formatTable(HEADINGS, moves.map(toMoveRow)).forEach(context.writeLine);
        if (stream.getLeaseHolder() === undefined && moves.some(move => !isMoveEnded(move))) {
          context.writeProgress(
            'no fleet daemon holds the lease; moves make no progress until one does',
          );
        }
      }),
  });
}

function createWaitCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'wait',
    description:
      'Waits until a move has ended; exit code 0 if it is done, 1 if it was rolled back or aborted',
    settings: {
      ...LOG_SETTINGS,
      waitMs: {
        flag: 'wait-ms',
        variable: 'BUCKTHORN_WAIT_MS',
        description: 'Longest wait',
        parse: createIntegerParser(0, MAX_WAIT_MS),
        defaultText: '86400000',
      },
    },
    flags: JSON_FLAG,
    commandArguments: MOVE_ARGUMENT,
    run: settings =>
      withFleetStream(settings, context, async stream => {
        const {moveId} = getMoveOrThrow(stream.getMoves(), settings.commandArguments.move);
        const move = await waitUntilEnded(stream, moveId, settings.waitMs, context);
        if (settings.json) context.writeLine(JSON.stringify(move));
        const text = `${moveId} is ${move.phase}${move.reason ? `: ${move.reason}` : ''}`;
        if (move.phase !== 'done') throw new ServingError(text, {kind: 'conflict'});
        if (!settings.json) context.writeLine(text);
      }),
  });
}

function createAbortCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'abort',
    description: 'Aborts a move; all new requests go to the old version again',
    settings: {...LOG_SETTINGS, operator: OPERATOR_SETTING},
    flags: {},
    commandArguments: MOVE_ARGUMENT,
    run: settings =>
      withFleetStream(settings, context, async stream => {
        const {moveId} = getMoveOrThrow(stream.getMoves(), settings.commandArguments.move);
        const offset = await stream.abortMove({
          moveId,
          requestedBy: settings.operator,
          requestedAtMs: context.getNowMs(),
        });
        context.writeLine(`aborted at offset ${offset}: ${moveId}`);
      }),
  });
}

async function readService(
  settings: LogSettings,
  context: OperatorContext,
  name: string,
): Promise<Service> {
  const {configuration} = await withConfigurationStream(settings, context, async stream =>
    stream.getInForce(),
  );
  const service = configuration?.services.find(candidate => candidate.name === name);
  if (service) return service;
  const configuredNames =
    configuration?.services.map(candidate => candidate.name).join(', ') ?? 'none';
  throw new ServingError(
    `there is no service "${name}" in the configuration in force (${configuredNames})`,
    {
      kind: 'invalid-settings',
    },
  );
}

/**
 * Polls until a move has ended and prints each change of its phase or share.
 * @throws ServingError of kind `conflict` if it hasn't ended after `waitMs`.
 */
async function waitUntilEnded(
  stream: FleetStream,
  moveId: string,
  waitMs: number,
  {getNowMs, writeProgress}: OperatorContext,
): Promise<Move> {
  const timeoutAtMs = getNowMs() + waitMs;
  let lastProgress = '';
  for (;;) {
    const move = getMoveOrThrow(stream.getMoves(), moveId);
    if (isMoveEnded(move)) return move;
    const text = `${moveId}: ${move.phase} at ${move.sharePercent}%`;
    if (text !== lastProgress) writeProgress(text);
    lastProgress = text;
    if (getNowMs() >= timeoutAtMs) {
      throw new ServingError(`${text} after ${waitMs} ms; the move continues`, {kind: 'conflict'});
    }
    await sleep(MOVE_POLL_MS);
  }
}

function toMoveRow(move: Move): ReadonlyArray<string | number> {
  return [
    move.moveId,
    move.service,
    move.fromVersion,
    move.toVersion,
    move.phase,
    move.sharePercent,
    formatTimestamp(move.deadlineAtMs),
    move.reason ?? '',
  ];
}
