/** `buckthornctl events`: the configuration and fleet streams as lines. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ConfigurationFold, FleetFold, type FleetVerdict} from '../folds/index.js';
import {LogClient} from '../log/index.js';
import type {LogBody, PlacedRecord} from '../records/index.js';
import type {RunnableCommand} from '../settings/index.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {createWriterId, type OperatorContext} from './OperatorContext.js';
import {JSON_FLAG, LOG_SETTINGS} from './OperatorSettings.js';
import {StreamSession, type SessionOptions} from './StreamSession.js';
import {formatInstant} from './Tables.js';

/** A record as `events` shows it. */
export interface LogEvent {
  readonly stream: 'configuration' | 'fleet';
  readonly offset: number;
  readonly atMs: number;
  readonly body: LogBody;
  readonly isAccepted: boolean;
  /** Why the record doesn't hold. */
  readonly rejection?: string;
}

const FOLLOW_POLL_MS = 1_000;

/** Builds the `events` command. */
export function createEventsCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'events',
    description: 'Shows the records of the configuration and fleet streams, and whether they hold',
    settings: LOG_SETTINGS,
    flags: {
      ...JSON_FLAG,
      follow: 'Goes on showing new records until interrupted',
      renewals: 'Shows lease renewals too',
    },
    commandArguments: {},
    run: async settings => {
      const log = new LogClient({url: settings.logUrl, timeoutMs: settings.logTimeoutMs});
      const past: LogEvent[] = [];
      let isPast = true;
      const writeEvent = (event: LogEvent) =>
        context.writeLine(settings.json ? JSON.stringify(event) : formatEvent(event));
      const onEvent = (event: LogEvent) => {
        if (event.body.kind === 'lease-renewal' && !settings.renewals) return;
        if (isPast) past.push(event);
        else writeEvent(event);
      };
      const options: SessionOptions = {
        log,
        writer: createWriterId(),
        getNowMs: context.getNowMs,
        timeoutMs: settings.logTimeoutMs,
      };
      const sessions = openEventSessions(options, onEvent, context.writeProgress);
      try {
        for (const session of sessions) await session.open();
        isPast = false;
        past.sort((a, b) => a.atMs - b.atMs).forEach(writeEvent);
        if (settings.follow) await sleepUntilInterrupted();
      } finally {
        await Promise.all(sessions.map(session => session.close()));
        await log.close();
      }
    },
  });
}

/** Returns an event as a line. */
export function formatEvent({stream, offset, atMs, body, isAccepted, rejection}: LogEvent): string {
  const verdict = isAccepted ? '' : ` REFUSED${rejection ? ` (${rejection})` : ''}`;
  return `${formatInstant(atMs)} ${stream}@${offset} ${describeBody(body)}${verdict}`;
}

function describeBody(body: LogBody): string {
  switch (body.kind) {
    case 'configuration':
      return `configuration over revision ${body.replacesRevision} by ${body.publishedBy}`;
    case 'configuration-snapshot':
      return `configuration snapshot of revision ${body.revision}`;
    case 'lease-claim':
      return `lease claimed by ${body.holder} for ${body.termMs} ms`;
    case 'lease-renewal':
      return `lease renewed by ${body.holder}`;
    case 'lease-release':
      return `lease released by ${body.holder}`;
    case 'move-request':
      return `move ${body.moveId} of ${body.service} from ${body.fromVersion} to ${body.toVersion} by ${body.requestedBy}`;
    case 'move-step':
      return `move ${body.moveId} ${body.phase} at ${body.sharePercent}%${body.reason ? `: ${body.reason}` : ''}`;
    case 'move-abort':
      return `move ${body.moveId} aborted by ${body.requestedBy}`;
    case 'domain-order':
      return `failure domain ${body.failureDomain} ${body.state} by ${body.requestedBy}`;
    case 'quarantine':
      return `request ${body.fingerprint} to ${body.service} quarantined by ${body.reporter}`;
    default:
      return body.kind;
  }
}

function openEventSessions(
  options: SessionOptions,
  onEvent: (event: LogEvent) => void,
  writeProgress: (line: string) => void,
): ReadonlyArray<Pick<StreamSession<unknown>, 'open' | 'close'>> {
  const configurations = new ConfigurationFold();
  const fleet = new FleetFold();
  const toEvent = (
    stream: LogEvent['stream'],
    {offset, record}: PlacedRecord,
    atMs: number,
  ): Omit<LogEvent, 'isAccepted'> => ({stream, offset, atMs, body: record.body});
  return [
    new StreamSession({
      ...options,
      stream: 'configuration',
      fold: configurations,
      getVerdict: () => configurations.getLastVerdict(),
      onGap: () => writeProgress('older records of the configuration stream are gone'),
      onApplied: (placed, atMs, verdict) =>
        onEvent({
          ...toEvent('configuration', placed, atMs),
          isAccepted: verdict?.isAccepted ?? placed.record.body.kind !== 'configuration',
        }),
    }),
    new StreamSession<FleetVerdict>({
      ...options,
      stream: 'fleet',
      fold: fleet,
      getVerdict: () => fleet.getLastVerdict(),
      onGap: () => {
        fleet.markIncomplete();
        writeProgress('older records of the fleet stream are gone');
      },
      onApplied: (placed, atMs, verdict) =>
        onEvent({...toEvent('fleet', placed, atMs), ...(verdict ?? {isAccepted: true})}),
    }),
  ];
}

async function sleepUntilInterrupted(): Promise<void> {
  let isInterrupted = false;
  process.once('SIGINT', () => {
    isInterrupted = true;
  });
  process.once('SIGTERM', () => {
    isInterrupted = true;
  });
  while (!isInterrupted) await sleep(FOLLOW_POLL_MS);
}
