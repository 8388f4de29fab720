/** Which servers have probably cached which segments of a prompt. */
import type {KnownServer} from '../../catalog/index.js';
import {getTextKey, hashText} from '../../utils/index.js';
import type {PromptPart} from './PlacementTypes.js';

/** Multipliers and shifts of the finalizer of MurmurHash3, which spreads the bits of a 32-bit number. */
const FIRST_MULTIPLIER = 0x85eb_ca6b;
const SECOND_MULTIPLIER = 0xc2b2_ae35;
/** Servers that are tried in the order of preference; further ones are as good as any. */
const MAX_TRIED = 4;

/** Keys of the servers in a list, in its order; most lists are used for many requests. */
const keysByList = new WeakMap<readonly KnownServer[], Uint32Array>();
const keyByServer = new WeakMap<KnownServer, number>();

/**
 * Returns the server that rendezvous hashing prefers for a segment. All gateways get the same one, so that a shared
 * segment is prefilled by one server only.
 */
export function findPreferredServer(
  servers: readonly KnownServer[],
  segmentId: string,
): KnownServer | undefined {
  let preferred: KnownServer | undefined;
  let highest = -1n;
  for (const server of servers) {
    const hash = hashText(`${segmentId}\n${server.entry.id}`);
    if (hash <= highest) continue;
    highest = hash;
    preferred = server;
  }
  return preferred;
}

/**
 * Returns the first usable server of a ranking like that of `findPreferredServer`, by a hash that is about a hundred
 * times cheaper; undefined if none of the first ones is usable.
 * @param servers - The keys of its servers are computed only once for each list.
 */
export function findUsablePreferredServer(
  servers: readonly KnownServer[],
  segmentId: string,
  isUsable: (server: KnownServer) => boolean,
): KnownServer | undefined {
  const keys = getKeys(servers);
  const segmentKey = getTextKey(segmentId);
  let bound = Infinity;
  for (let tried = 0; tried < MAX_TRIED; tried += 1) {
    let highest = -1;
    let index = -1;
    for (let candidate = 0; candidate < keys.length; candidate += 1) {
      const rank = mix(keys[candidate] ^ segmentKey);
      if (rank <= highest || rank >= bound) continue;
      highest = rank;
      index = candidate;
    }
    if (index < 0) return undefined;
    if (isUsable(servers[index])) return servers[index];
    bound = highest;
  }
  return undefined;
}

/**
 * Returns the prompt tokens that a server is expected to prefill. The preferred server of the last shared segment has
 * most likely cached all shared segments, the others only the first segment, which most prompts share.
 */
export function getUncachedTokens(parts: readonly PromptPart[], isPreferred: boolean): number {
  if (isPreferred) return parts.at(-1)?.tokens ?? 0;
  let total = 0;
  for (const {tokens} of parts) total += tokens;
  return parts.length > 2 ? total - parts[0].tokens : total;
}

function getKeys(servers: readonly KnownServer[]): Uint32Array {
  const known = keysByList.get(servers);
  if (known) return known;
  const keys = Uint32Array.from(servers, getKey);
  keysByList.set(servers, keys);
  return keys;
}

function getKey(server: KnownServer): number {
  const known = keyByServer.get(server);
  if (known !== undefined) return known;
  const key = getTextKey(server.entry.id);
  keyByServer.set(server, key);
  return key;
}

/** Returns the finalized 32-bit hash of a number. */
function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, FIRST_MULTIPLIER);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
