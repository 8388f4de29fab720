/** Expectations about the orders of the fleet's holders, by the platform's ledgers. */
import {FleetFold} from '../../src/folds/index.js';
import {decodeRecord, type LogBody} from '../../src/records/index.js';
import type {Findings} from './CallExpectations.js';
import type {LedgerLoad, LedgerRecord, PlatformLedgers} from './PlatformLedgers.js';

interface JudgedRecord {
  readonly atMs: number;
  readonly body: LogBody;
  readonly isAccepted: boolean;
  /** Whether a claim stands after the one that the record names as its token. */
  readonly isOutdated: boolean;
}

/**
 * Checks that no order of a holder took effect after one of a later holder: in the log, at the weight store and at the
 * cloud, whose stops need a drain that holds.
 */
export function checkFencing(ledgers: PlatformLedgers, minHolders: number): Findings {
  const records = judgeRecords(ledgers.fleetRecords);
  const claims = records.filter(({body, isAccepted}) => isAccepted && body.kind === 'lease-claim');
  const orders = records.filter(({body, isAccepted}) => isAccepted && getToken(body) !== undefined);
  if (claims.length < minHolders) return [`the lease was claimed ${claims.length} times only`];
  const lastClaimAtMs = claims.at(-1)?.atMs ?? 0;
  const hasOrderAfter =
    orders.some(({atMs}) => atMs > lastClaimAtMs) ||
    ledgers.loads.some(({askedAtMs}) => askedAtMs > lastClaimAtMs);
  if (!hasOrderAfter) return ['the last holder gave no order'];
  const outdated = orders.filter(({isOutdated}) => isOutdated);
  return [
    ...outdated.map(({body}) => `an outdated order holds: ${JSON.stringify(body)}`),
    ...checkLoadTokens(ledgers.loads),
    ...checkStarts(ledgers),
    ...checkStops(ledgers, orders),
  ];
}

function judgeRecords(records: readonly LedgerRecord[]): readonly JudgedRecord[] {
  const fold = new FleetFold();
  let newestClaim = -1;
  return records.flatMap(({offset, atMs, payload}) => {
    const record = decodeRecord(payload);
    fold.applyRecord({offset, record, atMs});
    const {isAccepted} = fold.getLastVerdict();
    const {body} = record;
    if (body.kind === 'lease-claim' && isAccepted) newestClaim = offset;
    const token = getToken(body);
    return [{atMs, body, isAccepted, isOutdated: token !== undefined && token < newestClaim}];
  });
}

function getToken(body: LogBody): number | undefined {
  return body.kind === 'move-step' || body.kind === 'instance-drain'
    ? body.fencingToken
    : undefined;
}

function checkLoadTokens(loads: readonly LedgerLoad[]): Findings {
  return loads.flatMap(({instanceId, fencingToken}, index) => {
    const earlier = loads.slice(0, index);
    const isOutdated = earlier.some(one => one.fencingToken > fencingToken);
    const isDoubled = earlier.some(one => one.instanceId === instanceId);
    return [
      ...(isOutdated ? [`the load of ${instanceId} came from an earlier holder`] : []),
      ...(isDoubled ? [`${instanceId} was loaded twice`] : []),
    ];
  });
}

/** The cloud gives one instance for one client token, so two tokens of one vacancy would be two instances. */
function checkStarts({starts}: PlatformLedgers): Findings {
  const slots = starts.map(({clientToken}) => clientToken.slice(0, clientToken.lastIndexOf('/')));
  return slots
    .filter((slot, index) => slots.indexOf(slot) !== index)
    .map(slot => `${slot} was filled twice`);
}

function checkStops({stops}: PlatformLedgers, orders: readonly JudgedRecord[]): Findings {
  return stops.flatMap(({instanceId, atMs}) => {
    const isDrained = orders.some(
      order =>
        order.body.kind === 'instance-drain' &&
        order.body.instanceId === instanceId &&
        order.atMs <= atMs,
    );
    return isDrained ? [] : [`${instanceId} was stopped without a drain that holds`];
  });
}
