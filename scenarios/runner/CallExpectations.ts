/** Expectations about the answers that callers got. */
import type {RunEntry} from '../../standins/index.js';
import {getAnswer, type CallRecord} from '../callers/index.js';
import {findRuns, getAllAttempts, isRefusal, isRightAnswer} from './Evidence.js';

/** What speaks against an expectation; nothing where it holds. */
export type Findings = readonly string[];

const PERCENT = 100;

/**
 * Checks that every call got its whole and right answer at its first answered attempt.
 * @param records - The calls.
 * @param mayBeRefused - Whether a call may have been refused for good before it was accepted.
 */
export function checkAnswers(records: readonly CallRecord[], mayBeRefused: boolean): Findings {
  return records.flatMap(record => {
    const {marker, attempts, expectedText} = record;
    const broken = attempts.filter(
      attempt => !isRightAnswer(attempt, expectedText) && !isRefusal(attempt),
    );
    if (broken.length > 0) return [`${marker} broke: ${JSON.stringify(shorten(broken[0]))}`];
    const last = attempts.at(-1);
    if (last && isRightAnswer(last, expectedText)) return [];
    return mayBeRefused ? [] : [`${marker} was refused: ${JSON.stringify(shorten(last))}`];
  });
}

/** Checks that enough calls were answered well. */
export function checkAnsweredPercent(records: readonly CallRecord[], min: number): Findings {
  const answered = records.filter(({attempts, expectedText}) =>
    attempts.some(attempt => isRightAnswer(attempt, expectedText)),
  );
  const percent = (answered.length / Math.max(records.length, 1)) * PERCENT;
  return percent >= min ? [] : [`${answered.length} of ${records.length} calls were answered`];
}

/** Checks that no call ran twice, and that each confirmed one ran. */
export function checkRuns(records: readonly CallRecord[], runs: readonly RunEntry[]): Findings {
  return records.flatMap(record => {
    const count = findRuns(runs, record).length;
    if (count > 1) return [`${record.marker} ran ${count} times`];
    const isConfirmed = getAnswer(getAllAttempts(record)) !== undefined;
    return isConfirmed && count === 0 ? [`${record.marker} was confirmed and never ran`] : [];
  });
}

/** Checks that calls whose every attempt was refused as not run were not run. */
export function checkNotRun(records: readonly CallRecord[], runs: readonly RunEntry[]): Findings {
  return records.flatMap(record => {
    const attempts = getAllAttempts(record);
    const saysNotRun = attempts.findLastIndex(({run}) => run === 'not-run');
    if (saysNotRun === -1) return [];
    const {endedAtMs} = attempts[saysNotRun];
    const earlier = findRuns(runs, record).filter(({startedAtMs}) => startedAtMs <= endedAtMs);
    return earlier.length > 0 ? [`${record.marker} was called not run, and had run`] : [];
  });
}

/** Checks that a repeat that was answered got the answer of the first, and that enough were answered. */
export function checkRepeats(records: readonly CallRecord[], minAnsweredPercent: number): Findings {
  const repeated = records.filter(({repeatAttempts}) => getAnswer(repeatAttempts));
  const percent = (repeated.length / Math.max(records.length, 1)) * PERCENT;
  const isEnough = percent >= minAnsweredPercent;
  const few = isEnough ? [] : [`${repeated.length} of ${records.length} repeats were answered`];
  const wrong = records.flatMap(({marker, attempts, repeatAttempts}) => {
    const first = getAnswer(attempts);
    const repeat = getAnswer(repeatAttempts);
    if (!first || !repeat || first.text === repeat.text) return [];
    return [`${marker} was answered ${first.text} and then ${repeat.text}`];
  });
  return [...few, ...wrong];
}

function shorten(attempt: CallRecord['attempts'][number] | undefined) {
  if (!attempt) return undefined;
  const {tokens, text, ...rest} = attempt;
  return {...rest, tokens: tokens?.length, text: text?.slice(0, PERCENT)};
}
