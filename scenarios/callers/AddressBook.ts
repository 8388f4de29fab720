/** Entries as the system names them to a caller, kept for as long as it says. */
import {request} from 'undici';
import {z} from 'zod';

const answerSchema = z.object({
  addresses: z.array(z.object({address: z.string(), port: z.number().int()})),
  ttlMs: z.number(),
});

const LOOK_UP_TIMEOUT_MS = 1_000;

/** Looks up entries at any entry that answers. */
export class AddressBook {
  private readonly getSeedUrls: () => readonly string[];
  private readonly workspaceKey: string;
  private urls: readonly string[] = [];
  private goodUntilMs = 0;

  /**
   * @param getSeedUrls - Returns entries to ask where none is known.
   * @param workspaceKey - Bearer key.
   */
  constructor(getSeedUrls: () => readonly string[], workspaceKey: string) {
    this.getSeedUrls = getSeedUrls;
    this.workspaceKey = workspaceKey;
  }

  /** Returns entries, best first. */
  async getUrls(nowMs: number): Promise<readonly string[]> {
    if (nowMs >= this.goodUntilMs) await this.lookUp(nowMs);
    return this.urls;
  }

  /** Makes the next call look up again. */
  forget(): void {
    this.goodUntilMs = 0;
  }

  private async lookUp(nowMs: number): Promise<void> {
    const seeds = [...new Set([...this.urls, ...this.getSeedUrls()])];
    for (const url of seeds) {
      const answer = await this.ask(url);
      if (!answer || answer.addresses.length === 0) continue;
      this.urls = answer.addresses.map(({address, port}) => `http://${address}:${port}`);
      this.goodUntilMs = nowMs + answer.ttlMs;
      return;
    }
    this.urls = seeds;
  }

  private async ask(url: string): Promise<z.infer<typeof answerSchema> | undefined> {
    try {
      const {statusCode, body} = await request(`${url}/v1/addresses`, {
        headers: {authorization: `Bearer ${this.workspaceKey}`},
        signal: AbortSignal.timeout(LOOK_UP_TIMEOUT_MS),
      });
      const text = await body.text();
      return statusCode === 200 ? answerSchema.parse(JSON.parse(text)) : undefined;
    } catch {
      return undefined;
    }
  }
}
