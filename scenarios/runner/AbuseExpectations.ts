/** Expectations about abusive requests and about access to the responses of other workspaces. */
import type {RunEntry} from '../../standins/index.js';
import type {AbuseKind, AbuseRecord, SpyRecord} from '../callers/index.js';
import type {Violations} from './CallExpectations.js';

const NOT_FOUND = 404;
const OK = 200;
/** Expected response statuses by kind of abuse. */
const EXPECTED_STATUSES: Readonly<Record<AbuseKind, readonly number[]>> = {
  'truncated-body': [400],
  'broken-json': [400],
  'oversize-body': [413],
  'oversize-chunks': [413],
  'slow-body': [408],
  'long-headers': [431],
  'slow-headers': [408],
};

/** Checks that each abusive request got the expected status, and that none ran at a backend server. */
export function checkAbuse(records: readonly AbuseRecord[], runs: readonly RunEntry[]): Violations {
  if (records.length === 0) return ['no abusive request was sent'];
  return records.flatMap(({kind, marker, status}) => {
    const hasRun = runs.some(({body}) => body?.includes(marker) === true);
    const hasExpectedStatus = status !== undefined && EXPECTED_STATUSES[kind].includes(status);
    return [
      ...(hasRun ? [`${marker} ran`] : []),
      ...(hasExpectedStatus ? [] : [`${marker} got ${status ?? 'no response'}`]),
    ];
  });
}

/** Checks that other workspaces got only bare 404 errors, and that at least one response was available to its owner. */
export function checkSpies(records: readonly SpyRecord[]): Violations {
  const ownerSuccesses = records.filter(({ownerStatus}) => ownerStatus === OK);
  if (ownerSuccesses.length === 0) return ['the owner got no response either'];
  return records.flatMap(({url, status, text}) => {
    const isBareNotFound =
      status === NOT_FOUND && text.includes('"error"') && !text.includes('choices');
    return isBareNotFound
      ? []
      : [`${url} returned ${status} to another workspace: ${text.slice(0, 100)}`];
  });
}
