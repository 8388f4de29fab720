/** `buckthornctl events`: prints the records of the configuration and fleet streams, one a line. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ConfigurationFold, FleetFold, type FleetRecordResult} from '../folds/index.js';
import {LogClient} from '../log/index.js';
import type {LogBody, PlacedRecord} from '../records/index.js';
import type {RunnableCommand} from '../settings/index.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {createWriterId, type OperatorContext} from './OperatorContext.js';
import {JSON_FLAG, LOG_SETTINGS} from './OperatorSettings.js';
import {StreamSession, type SessionOptions} from './StreamSession.js';
import {formatTimestamp} from './formatTable.js';

/** A log record, and whether the stream's fold accepted it. */
export interface LogEvent {
  readonly stream: 'configuration' | 'fleet';
  readonly offset: number;
  /** Unix time in milliseconds at which the log stored the record. */
  readonly atMs: number;
  readonly body: LogBody;
  readonly isAccepted: boolean;
  /** Reason of the rejection; undefined for accepted records, and for configurations, whose fold gives no reason. */
  readonly rejection?: string;
}

/** How often `--follow` checks whether it was interrupted. */
const INTERRUPT_POLL_MS = 1_000;

/**
 * Builds the `events` command. Existing records of both streams are printed in the order of their timestamps, new ones
 * as they arrive.
 */
export function createEventsCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'events',
    description:
      'Shows the records of the configuration and fleet streams, and whether they were accepted',
    settings: LOG_SETTINGS,
    flags: {
      ...JSON_FLAG,
      follow: 'Shows new records as they arrive, until interrupted',
      renewals: 'Includes lease renewals',
    },
    commandArguments: {},
    run: async settings => {
      const log = new LogClient({url: settings.logUrl, timeoutMs: settings.logTimeoutMs});
      const existingEvents: LogEvent[] = [];
      let isReadingExisting = true;
      const writeEvent = (event: LogEvent) =>
        context.writeLine(settings.json ? JSON.stringify(event) : formatEvent(event));
      const onEvent = (event: LogEvent) => {
        if (event.body.kind === 'lease-renewal' && !settings.renewals) return;
        if (isReadingExisting) existingEvents.push(event);
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
        isReadingExisting = false;
        existingEvents.sort((a, b) => a.atMs - b.atMs).forEach(writeEvent);
        if (settings.follow) await sleepUntilInterrupted();
      } finally {
        await Promise.all(sessions.map(session => session.close()));
        await log.close();
      }
    },
  });
}

/** Formats an event as a line: timestamp, stream, offset, content, and `REFUSED` for a rejected record. */
export function formatEvent({stream, offset, atMs, body, isAccepted, rejection}: LogEvent): string {
  const refusal = isAccepted ? '' : ` REFUSED${rejection ? ` (${rejection})` : ''}`;
  return `${formatTimestamp(atMs)} ${stream}@${offset} ${formatBody(body)}${refusal}`;
}

function formatBody(body: LogBody): string {
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
  const configurationFold = new ConfigurationFold();
  const fleetFold = new FleetFold();
  const toEvent = (
    stream: LogEvent['stream'],
    {offset, record}: PlacedRecord,
    atMs: number,
  ): Omit<LogEvent, 'isAccepted'> => ({stream, offset, atMs, body: record.body});
  return [
    new StreamSession({
      ...options,
      stream: 'configuration',
      fold: configurationFold,
      getLastResult: () => configurationFold.getLastResult(),
      onGap: () =>
        writeProgress('the log has dropped the oldest records of the configuration stream'),
      onApplied: (placed, atMs, result) =>
        onEvent({
          ...toEvent('configuration', placed, atMs),
          isAccepted: result?.isAccepted ?? placed.record.body.kind !== 'configuration',
        }),
    }),
    new StreamSession<FleetRecordResult>({
      ...options,
      stream: 'fleet',
      fold: fleetFold,
      getLastResult: () => fleetFold.getLastResult(),
      onGap: () => {
        fleetFold.markIncomplete();
        writeProgress('the log has dropped the oldest records of the fleet stream');
      },
      onApplied: (placed, atMs, result) =>
        onEvent({...toEvent('fleet', placed, atMs), ...(result ?? {isAccepted: true})}),
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
  while (!isInterrupted) await sleep(INTERRUPT_POLL_MS);
}
