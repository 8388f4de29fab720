/** Reads the ledgers of the platform stand-ins over HTTP. */
import {request} from 'undici';
import {z} from 'zod';
import type {Deployment} from '../deployment/index.js';

const startSchema = z.object({
  instanceId: z.string(),
  clientToken: z.string(),
  service: z.string(),
  version: z.string(),
  atMs: z.number(),
});
const stopSchema = z.object({instanceId: z.string(), atMs: z.number()});
const loadSchema = z.object({
  instanceId: z.string(),
  fencingToken: z.number(),
  askedAtMs: z.number(),
  startsAtMs: z.number(),
  endsAtMs: z.number(),
});
const recordSchema = z.object({offset: z.number(), atMs: z.number(), payload: z.string()});

const noticeSchema = z.object({instanceId: z.string(), leavingAtMs: z.number()});

const cloudSchema = z.object({
  starts: z.array(startSchema),
  stops: z.array(stopSchema),
  notices: z.array(noticeSchema),
});
const weightsSchema = z.object({loads: z.array(loadSchema)});
const logSchema = z.object({
  streams: z.array(z.object({name: z.string(), records: z.array(recordSchema)})),
});

/** Instance start that the cloud API accepted. */
export type LedgerStart = Readonly<z.infer<typeof startSchema>>;
/** Instance stop requested from the cloud API. */
export type LedgerStop = Readonly<z.infer<typeof stopSchema>>;
/** Reclaim notice published by the cloud API. */
export type LedgerNotice = Readonly<z.infer<typeof noticeSchema>>;
/** Load requested from the weight store; it runs from `startsAtMs` to `endsAtMs`. */
export type LedgerLoad = Readonly<z.infer<typeof loadSchema>>;
/** Log record with its encoded payload. */
export type LedgerRecord = Readonly<z.infer<typeof recordSchema>>;

/** Requests to the platform services, and the records of the `fleet` stream; each list is in order of arrival. */
export interface PlatformLedgers {
  readonly starts: readonly LedgerStart[];
  readonly stops: readonly LedgerStop[];
  readonly notices: readonly LedgerNotice[];
  readonly loads: readonly LedgerLoad[];
  readonly fleetRecords: readonly LedgerRecord[];
}

/** Requests the ledgers of the cloud API, the weight store and the log service. */
export async function readPlatformLedgers(deployment: Deployment): Promise<PlatformLedgers> {
  const {cloud, weights, log} = deployment.getPlatformUrlsOrThrow();
  const {starts, stops, notices} = cloudSchema.parse(await getLedger(cloud));
  const {loads} = weightsSchema.parse(await getLedger(weights));
  const {streams} = logSchema.parse(await getLedger(log));
  const fleetRecords = streams.find(({name}) => name === 'fleet')?.records ?? [];
  return {starts, stops, notices, loads, fleetRecords};
}

async function getLedger(url: string): Promise<unknown> {
  const {body} = await request(`${url}/standin/ledger`);
  return body.json();
}
