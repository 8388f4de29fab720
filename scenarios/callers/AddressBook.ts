/** Client-side cache of the entry addresses that `GET /v1/addresses` returns. */
import {request} from 'undici';
import {z} from 'zod';

const addressesSchema = z.object({
  addresses: z.array(z.object({address: z.string(), port: z.number().int()})),
  ttlMs: z.number(),
});

const LOOK_UP_TIMEOUT_MS = 1_000;

/** Caches entry URLs for the returned `ttlMs`; refreshes them from the first entry that responds. */
export class AddressBook {
  private readonly getSeedUrls: () => readonly string[];
  private readonly workspaceKey: string;
  private urls: readonly string[] = [];
  private validUntilMs = 0;

  /**
   * @param getSeedUrls - Returns entries to call in addition to those in the cache.
   * @param workspaceKey - Bearer key of the caller's workspace.
   */
  constructor(getSeedUrls: () => readonly string[], workspaceKey: string) {
    this.getSeedUrls = getSeedUrls;
    this.workspaceKey = workspaceKey;
  }

  /** Returns the entry URLs, best first; falls back to all known and seed URLs if no entry responds. */
  async getUrls(nowMs: number): Promise<readonly string[]> {
    if (nowMs >= this.validUntilMs) await this.refresh(nowMs);
    return this.urls;
  }

  /** Makes the next `getUrls` refresh the addresses. */
  invalidate(): void {
    this.validUntilMs = 0;
  }

  private async refresh(nowMs: number): Promise<void> {
    const seeds = [...new Set([...this.urls, ...this.getSeedUrls()])];
    for (const url of seeds) {
      const response = await this.fetchAddresses(url);
      if (!response || response.addresses.length === 0) continue;
      this.urls = response.addresses.map(({address, port}) => `http://${address}:${port}`);
      this.validUntilMs = nowMs + response.ttlMs;
      return;
    }
    this.urls = seeds;
  }

  private async fetchAddresses(url: string): Promise<z.infer<typeof addressesSchema> | undefined> {
    try {
      const {statusCode, body} = await request(`${url}/v1/addresses`, {
        headers: {authorization: `Bearer ${this.workspaceKey}`},
        signal: AbortSignal.timeout(LOOK_UP_TIMEOUT_MS),
      });
      const text = await body.text();
      return statusCode === 200 ? addressesSchema.parse(JSON.parse(text)) : undefined;
    } catch {
      return undefined;
    }
  }
}
