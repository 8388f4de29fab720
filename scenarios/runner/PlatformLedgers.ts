/** Reads the ledgers of the platform's stand-ins. */
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

/** A start that the cloud was asked for. */
export type LedgerStart = Readonly<z.infer<typeof startSchema>>;
/** A stop that the cloud was asked for. */
export type LedgerStop = Readonly<z.infer<typeof stopSchema>>;
/** A reclaim that the cloud announced. */
export type LedgerNotice = Readonly<z.infer<typeof noticeSchema>>;
/** A load that the weight store was asked for. */
export type LedgerLoad = Readonly<z.infer<typeof loadSchema>>;
/** A record as the log keeps it. */
export type LedgerRecord = Readonly<z.infer<typeof recordSchema>>;

/** What the platform was asked for, each in order. */
export interface PlatformLedgers {
  readonly starts: readonly LedgerStart[];
  readonly stops: readonly LedgerStop[];
  readonly notices: readonly LedgerNotice[];
  readonly loads: readonly LedgerLoad[];
  readonly fleetRecords: readonly LedgerRecord[];
}

/** Asks the platform's stand-ins for their ledgers. */
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
