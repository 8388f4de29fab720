/** `buckthornctl move`: start, status, wait and abort of version moves. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {subcommands} from 'cmd-ts';
import type {Move} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {isMoveEnded} from '../folds/index.js';
import {parseText, parseWholeNumber, type RunnableCommand} from '../settings/index.js';
import type {FleetStream} from './FleetStream.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withConfigurationStream, withFleetStream, type OperatorContext} from './OperatorContext.js';
import {parseDeadline} from './Deadlines.js';
import {JSON_FLAG, LOG_SETTINGS, OPERATOR_SETTING, type LogSettings} from './OperatorSettings.js';
import {formatDuration, formatInstant, formatTable} from './Tables.js';

const POLL_MS = 200;
const MAX_WAIT_MS = 7 * 24 * 3_600_000;
const MOVE_ARGUMENT = {move: 'Id of the move, or the name of its service'} as const;
const SERVICE_ARGUMENT = {service: 'Name of the service'} as const;
const HEADINGS = ['MOVE', 'SERVICE', 'FROM', 'TO', 'PHASE', 'SHARE %', 'DEADLINE', 'REASON'];

/** Builds the `move` commands. */
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
 * Returns the version that a service's traffic goes to now.
 * @param service - The service as configured.
 * @param moves - Moves under way and the last ended ones.
 * @throws ServingError of kind `invalid-settings` where several versions share the traffic.
 */
export function getCurrentVersion(service: Service, moves: readonly Move[]): string {
  const last = moves.find(move => move.service === service.name);
  if (last?.phase === 'done') return last.toVersion;
  const versions = service.versions.filter(({sharePercent}) => sharePercent > 0);
  if (versions.length === 1 && versions[0]) return versions[0].name;
  throw new ServingError(
    `--from (BUCKTHORN_FROM) is missing: ${service.name} has traffic on ` +
      versions.map(({name}) => name).join(' and '),
    {kind: 'invalid-settings'},
  );
}

/**
 * Returns a move by its id, or the one of a service.
 * @param moves - The moves.
 * @param word - Id of the move or name of its service.
 * @throws ServingError of kind `not-found`.
 */
export function getMoveOrThrow(moves: readonly Move[], word: string): Move {
  const move = moves.find(({moveId, service}) => moveId === word || service === word);
  if (!move) throw new ServingError(`there is no move "${word}"`, {kind: 'not-found'});
  return move;
}

function createStartCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'start',
    description: 'Starts a move; its versions run side by side while the share rises',
    settings: {
      ...LOG_SETTINGS,
      operator: OPERATOR_SETTING,
      to: {
        flag: 'to',
        variable: 'BUCKTHORN_TO',
        description: 'Version that is to get all traffic',
        parse: parseText,
      },
      from: {
        flag: 'from',
        variable: 'BUCKTHORN_FROM',
        description: 'Version that has the traffic; found out where absent',
        parse: text => text,
        defaultText: '',
      },
      deadline: {
        flag: 'deadline',
        variable: 'BUCKTHORN_DEADLINE',
        description: 'When the move must be done: 45m, 2h, or an instant such as 2027-01-31T18:00Z',
        parse: parseText,
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
    description: 'Shows the moves under way and the last ended one of each service',
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
        formatTable(HEADINGS, moves.map(toRow)).forEach(context.writeLine);
        if (stream.getLeaseHolder() === undefined && moves.some(move => !isMoveEnded(move))) {
          context.writeProgress('no fleet daemon holds the lease; moves wait until one does');
        }
      }),
  });
}

function createWaitCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'wait',
    description: 'Waits until a move has ended; exit code 0 where it is done, 1 where taken back',
    settings: {
      ...LOG_SETTINGS,
      waitMs: {
        flag: 'wait-ms',
        variable: 'BUCKTHORN_WAIT_MS',
        description: 'Longest wait',
        parse: parseWholeNumber(0, MAX_WAIT_MS),
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
    description: 'Gives up a move; all new work goes to the old version again',
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
  const known = configuration?.services.map(candidate => candidate.name).join(', ') ?? 'none';
  throw new ServingError(`there is no service "${name}" in the configuration in force (${known})`, {
    kind: 'invalid-settings',
  });
}

async function waitUntilEnded(
  stream: FleetStream,
  moveId: string,
  waitMs: number,
  {getNowMs, writeProgress}: OperatorContext,
): Promise<Move> {
  const giveUpAtMs = getNowMs() + waitMs;
  let shown = '';
  for (;;) {
    const move = getMoveOrThrow(stream.getMoves(), moveId);
    if (isMoveEnded(move)) return move;
    const text = `${moveId}: ${move.phase} at ${move.sharePercent}%`;
    if (text !== shown) writeProgress(text);
    shown = text;
    if (getNowMs() >= giveUpAtMs) {
      throw new ServingError(`${text} after ${waitMs} ms; the move goes on`, {kind: 'conflict'});
    }
    await sleep(POLL_MS);
  }
}

function toRow(move: Move): ReadonlyArray<string | number> {
  return [
    move.moveId,
    move.service,
    move.fromVersion,
    move.toVersion,
    move.phase,
    move.sharePercent,
    formatInstant(move.deadlineAtMs),
    move.reason ?? '',
  ];
}
