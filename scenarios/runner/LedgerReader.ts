/** Reads the ledger files of backend servers, including those that have ended. */
import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import type {RunEntry} from '../../standins/index.js';

const EXTENSION = '.ledger';

/**
 * Returns the path of a ledger file.
 * @param startNumber - Distinguishes the starts of the same backend server, each of which writes its own file.
 */
export function getLedgerPath(folder: string, instanceId: string, startNumber: number): string {
  return join(folder, `${instanceId}.${startNumber}${EXTENSION}`);
}

/** Returns the runs of all ledgers in a folder, ordered by start time. */
export async function readLedgers(folder: string): Promise<readonly RunEntry[]> {
  const names = (await readdir(folder)).filter(name => name.endsWith(EXTENSION));
  const ledgers = await Promise.all(names.map(name => readLedger(join(folder, name))));
  return ledgers.flat().sort((a, b) => a.startedAtMs - b.startedAtMs);
}

/** Reads the last state of each run; ignores invalid lines, since a killed process can leave an incomplete one. */
async function readLedger(path: string): Promise<readonly RunEntry[]> {
  const runs = new Map<number, RunEntry>();
  for (const line of (await readFile(path, 'utf8')).split('\n')) {
    const entry = parseLine(line);
    if (entry) runs.set(entry.runNumber, entry);
  }
  return [...runs.values()];
}

function parseLine(line: string): RunEntry | undefined {
  try {
    return JSON.parse(line) as RunEntry;
  } catch {
    return undefined;
  }
}
