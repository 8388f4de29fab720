/** Expectations about callers that do what they must not. */
import type {RunEntry} from '../../standins/index.js';
import type {AbuseKind, AbuseRecord, SpyRecord} from '../callers/index.js';
import type {Findings} from './CallExpectations.js';

const NOT_FOUND = 404;
const OK = 200;
/** Statuses that answer each kind. */
const EXPECTED: Readonly<Record<AbuseKind, readonly number[]>> = {
  'truncated-body': [400],
  'broken-json': [400],
  'oversize-body': [413],
  'oversize-chunks': [413],
  'slow-body': [408],
  'long-headers': [431],
  'slow-headers': [408],
};

/** Checks that each abuse got its refusal, and that none of it ran. */
export function checkAbuse(records: readonly AbuseRecord[], runs: readonly RunEntry[]): Findings {
  if (records.length === 0) return ['there was no abuse'];
  return records.flatMap(({kind, marker, status}) => {
    const hasRun = runs.some(({body}) => body?.includes(marker) === true);
    const isRight = status !== undefined && EXPECTED[kind].includes(status);
    return [
      ...(hasRun ? [`${marker} ran`] : []),
      ...(isRight ? [] : [`${marker} got ${status ?? 'no answer'}`]),
    ];
  });
}

/** Checks that another workspace got a bare 404 everywhere, and that there was something to get. */
export function checkSpies(records: readonly SpyRecord[]): Findings {
  const owned = records.filter(({ownerStatus}) => ownerStatus === OK);
  if (owned.length === 0) return ['the owner got no answer either'];
  return records.flatMap(({place, status, text}) => {
    const isBare = status === NOT_FOUND && text.includes('"error"') && !text.includes('choices');
    return isBare ? [] : [`${place} gave another workspace ${status}: ${text.slice(0, 100)}`];
  });
}
