/** Expectations about prefix cache hits and recomputed tokens, checked against the ledgers of engines. */
import type {RunEntry} from '../../standins/index.js';
import type {Violations} from './CallExpectations.js';
import {selectRuns} from './Evidence.js';

/** Services to compare: `service` may recompute at most `maxPercent` of the tokens that `than` does. */
export interface RecomputeBound {
  readonly service: string;
  readonly than: string;
  readonly maxPercent: number;
}

const PERCENT = 100;

/** Checks that at least `min` percent of the prompt tokens were cache hits. */
export function checkCachedPercent(runs: readonly RunEntry[], min: number): Violations {
  const admitted = runs.filter(({promptTokens}) => promptTokens > 0);
  const promptTokens = sum(admitted.map(run => run.promptTokens));
  if (promptTokens === 0) return ['no request ran'];
  const cachedTokens = sum(admitted.map(run => run.cachedTokens));
  const percent = (cachedTokens / promptTokens) * PERCENT;
  return percent >= min ? [] : [`${percent.toFixed(1)} percent of the tokens were cached`];
}

/** Checks that runs resumed on another engine recomputed fewer prompt tokens at one service than at the other. */
export function checkRecomputed(runs: readonly RunEntry[], bound: RecomputeBound): Violations {
  const own = getRecomputedTokens(selectRuns(runs, {service: bound.service}));
  const other = getRecomputedTokens(selectRuns(runs, {service: bound.than}));
  if (own.repeats === 0 || other.repeats === 0) return ['no request was resumed on another engine'];
  const ownTokensPerRepeat = own.tokens / own.repeats;
  const otherTokensPerRepeat = other.tokens / other.repeats;
  if (ownTokensPerRepeat <= (otherTokensPerRepeat * bound.maxPercent) / PERCENT) return [];
  return [
    `${bound.service} computed ${ownTokensPerRepeat} tokens per resumed run, ${bound.than} ${otherTokensPerRepeat}`,
  ];
}

/** Counts the resumed runs, which are all runs of a request after its first, and the prompt tokens that they computed. */
function getRecomputedTokens(runs: readonly RunEntry[]) {
  const seenRequestIds = new Set<string>();
  const repeats = runs.filter(({requestId, promptTokens}) => {
    const isRepeat = seenRequestIds.has(requestId) && promptTokens > 0;
    seenRequestIds.add(requestId);
    return isRepeat;
  });
  const tokens = sum(repeats.map(run => run.promptTokens - run.cachedTokens));
  return {repeats: repeats.length, tokens};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
