/** Rate of the prompt tokens that this gateway sends to each service. */

interface Rate {
  tokensPerSecond: number;
  updatedAtMs: number;
}

/** Time constant of the moving average. */
const TIME_CONSTANT_MS = 6_000;
const MS_PER_SECOND = 1_000;

/** Exponentially weighted moving averages of the prompt tokens per second, by service. */
export class PromptRates {
  private readonly byService = new Map<string, Rate>();

  /**
   * Adds the prompt of a request.
   * @param service - Service that it is sent to.
   * @param promptTokens - Tokens that its server is expected to prefill.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  addPrompt(service: string, promptTokens: number, nowMs: number): void {
    if (promptTokens <= 0) return;
    const rate = this.byService.get(service) ?? {tokensPerSecond: 0, updatedAtMs: nowMs};
    const added = (promptTokens * MS_PER_SECOND) / TIME_CONSTANT_MS;
    this.byService.set(service, {
      tokensPerSecond: getDecayed(rate, nowMs) + added,
      updatedAtMs: nowMs,
    });
  }

  /**
   * Returns the rates by service.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getRates(nowMs: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.byService].map(([service, rate]) => [service, getDecayed(rate, nowMs)]),
    );
  }
}

function getDecayed({tokensPerSecond, updatedAtMs}: Rate, nowMs: number): number {
  return tokensPerSecond * Math.exp(-(nowMs - updatedAtMs) / TIME_CONSTANT_MS);
}
