/** Transfer of KV cache blocks between engines. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import type {EngineProfile} from './EngineProfile.js';
import type {JobBlocks} from './EngineScheduler.js';
import type {PrefixCache} from './PrefixCache.js';

/** Response of `POST /cache/export`. */
export interface KvExport {
  readonly kvId: string;
  readonly tokens: number;
  readonly bytes: number;
}

/** Body of `POST /cache/import`: an export and the engine that holds it. */
export const kvImportSchema = z.strictObject({
  kvId: z.string(),
  fromAddress: z.string(),
  fromPort: z.number().int(),
});

const kvBlocksSchema = z.strictObject({hashes: z.array(z.string()), tokens: z.number().int()});
const MS_PER_SECOND = 1_000;

/** Holds exported blocks by their `kvId`, and imports those of other engines. */
export class KvTransfers {
  private readonly profile: EngineProfile;
  private readonly cache: PrefixCache;
  private readonly exports = new Map<string, JobBlocks>();

  constructor(profile: EngineProfile, cache: PrefixCache) {
    this.profile = profile;
    this.cache = cache;
  }

  /** Exports the blocks of a request, so that another engine can fetch them. */
  addExport(requestId: string, blocks: JobBlocks): KvExport {
    const kvId = `kv-${requestId}-${this.exports.size + 1}`;
    this.exports.set(kvId, blocks);
    return {kvId, tokens: blocks.tokens, bytes: blocks.tokens * this.profile.kvBytesPerToken};
  }

  /** Returns the blocks of an export; undefined if there is none of this id. */
  getExport(kvId: string): JobBlocks | undefined {
    return this.exports.get(kvId);
  }

  /**
   * Copies another engine's export into the prefix cache, delayed by the simulated transfer time.
   * @returns Number of tokens imported.
   * @throws Error if the other engine doesn't have the export.
   */
  async importKvCache(source: z.infer<typeof kvImportSchema>): Promise<number> {
    const url = `http://${source.fromAddress}:${source.fromPort}/cache/exports/${source.kvId}`;
    const response = await request(url);
    if (response.statusCode !== 200) throw new Error(`export ${source.kvId} not found`);
    const {hashes, tokens} = kvBlocksSchema.parse(await response.body.json());
    const {kvBytesPerToken, kvBytesPerSecond, timeScale} = this.profile;
    await sleep(((tokens * kvBytesPerToken) / kvBytesPerSecond / timeScale) * MS_PER_SECOND);
    this.cache.storePrefix(hashes);
    return tokens;
  }
}
