/** Export and import of KV cache between engines. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import type {EngineProfile} from './EngineProfile.js';
import type {JobBlocks} from './EngineScheduler.js';
import type {PrefixCache} from './PrefixCache.js';

/** What an export answers. */
export interface KvExport {
  readonly kvId: string;
  readonly tokens: number;
  readonly bytes: number;
}

/** What an import asks for. */
export const kvImportSchema = z.strictObject({
  kvId: z.string(),
  fromAddress: z.string(),
  fromPort: z.number().int(),
});

const kvBlocksSchema = z.strictObject({hashes: z.array(z.string()), tokens: z.number().int()});
const MS_PER_SECOND = 1_000;

/** Keeps exported caches by id, and fetches those of other engines. */
export class KvTransfers {
  private readonly profile: EngineProfile;
  private readonly cache: PrefixCache;
  private readonly exports = new Map<string, JobBlocks>();

  constructor(profile: EngineProfile, cache: PrefixCache) {
    this.profile = profile;
    this.cache = cache;
  }

  /** Keeps a request's blocks for another engine. */
  addExport(requestId: string, blocks: JobBlocks): KvExport {
    const kvId = `kv-${requestId}-${this.exports.size + 1}`;
    this.exports.set(kvId, blocks);
    return {kvId, tokens: blocks.tokens, bytes: blocks.tokens * this.profile.kvBytesPerToken};
  }

  /** Returns what was exported. */
  getExport(kvId: string): JobBlocks | undefined {
    return this.exports.get(kvId);
  }

  /** Fetches another engine's export into the cache; takes as long as its bytes need. */
  async importFrom(source: z.infer<typeof kvImportSchema>): Promise<number> {
    const url = `http://${source.fromAddress}:${source.fromPort}/cache/exports/${source.kvId}`;
    const answer = await request(url);
    if (answer.statusCode !== 200) throw new Error(`export ${source.kvId} is not there`);
    const {hashes, tokens} = kvBlocksSchema.parse(await answer.body.json());
    const {kvBytesPerToken, kvBytesPerSecond, timeScale} = this.profile;
    await sleep(((tokens * kvBytesPerToken) / kvBytesPerSecond / timeScale) * MS_PER_SECOND);
    this.cache.storePrefix(hashes);
    return tokens;
  }
}
