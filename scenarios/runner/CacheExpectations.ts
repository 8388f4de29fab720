/** Expectations about what engines found in their caches, by their ledgers. */
import type {RunEntry} from '../../standins/index.js';
import type {Findings} from './CallExpectations.js';
import {selectRuns} from './Evidence.js';

/** Which services are compared. */
export interface RecomputeBound {
  readonly service: string;
  readonly than: string;
  readonly maxPercent: number;
}

const PERCENT = 100;

/** Checks the cached part of the prompts' tokens. */
export function checkCachedPercent(runs: readonly RunEntry[], min: number): Findings {
  const admitted = runs.filter(({promptTokens}) => promptTokens > 0);
  const promptTokens = sum(admitted.map(run => run.promptTokens));
  if (promptTokens === 0) return ['nothing ran'];
  const cachedTokens = sum(admitted.map(run => run.cachedTokens));
  const percent = (cachedTokens / promptTokens) * PERCENT;
  return percent >= min ? [] : [`${percent.toFixed(1)} percent of the tokens were cached`];
}

/** Checks that the runs that went on elsewhere computed less at one service than at the other. */
export function checkRecomputed(runs: readonly RunEntry[], bound: RecomputeBound): Findings {
  const own = getRecomputed(selectRuns(runs, {service: bound.service}));
  const other = getRecomputed(selectRuns(runs, {service: bound.than}));
  if (own.repeats === 0 || other.repeats === 0) return ['no request went on elsewhere'];
  const ownEach = own.tokens / own.repeats;
  const otherEach = other.tokens / other.repeats;
  if (ownEach <= (otherEach * bound.maxPercent) / PERCENT) return [];
  return [`${bound.service} computed ${ownEach} tokens a repeat, ${bound.than} ${otherEach}`];
}

/** Runs of one request beyond its first are those that replaced it. */
function getRecomputed(runs: readonly RunEntry[]) {
  const seen = new Set<string>();
  const repeats = runs.filter(({requestId, promptTokens}) => {
    const isRepeat = seen.has(requestId) && promptTokens > 0;
    seen.add(requestId);
    return isRepeat;
  });
  const tokens = sum(repeats.map(run => run.promptTokens - run.cachedTokens));
  return {repeats: repeats.length, tokens};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
