/** Expectations about the fencing of lease holders' orders, checked against the platform's ledgers. */
import {FleetFold} from '../../src/folds/index.js';
import {decodeRecord, type LogBody} from '../../src/records/index.js';
import type {Violations} from './CallExpectations.js';
import type {LedgerLoad, LedgerRecord, PlatformLedgers} from './PlatformLedgers.js';

/** A fleet record with the result of applying it to the fold. */
interface EvaluatedRecord {
  readonly atMs: number;
  readonly body: LogBody;
  readonly isAccepted: boolean;
  /** Whether a newer lease claim than the record's fencing token had already been accepted. */
  readonly isOutdated: boolean;
}

/**
 * Checks that no order of a lease holder took effect after one of a later holder: in the log, at the weight store and at the
 * cloud API, where a stop must follow an accepted drain of the instance.
 */
export function checkFencing(ledgers: PlatformLedgers, minHolders: number): Violations {
  const records = evaluateRecords(ledgers.fleetRecords);
  const claims = records.filter(({body, isAccepted}) => isAccepted && body.kind === 'lease-claim');
  const orders = records.filter(({body, isAccepted}) => isAccepted && getToken(body) !== undefined);
  if (claims.length < minHolders) return [`the lease was claimed only ${claims.length} times`];
  const lastClaimAtMs = claims.at(-1)?.atMs ?? 0;
  const hasOrderAfter =
    orders.some(({atMs}) => atMs > lastClaimAtMs) ||
    ledgers.loads.some(({askedAtMs}) => askedAtMs > lastClaimAtMs);
  if (!hasOrderAfter) return ['the last lease holder gave no order'];
  const outdated = orders.filter(({isOutdated}) => isOutdated);
  return [
    ...outdated.map(({body}) => `an outdated order was accepted: ${JSON.stringify(body)}`),
    ...checkLoadTokens(ledgers.loads),
    ...checkStarts(ledgers),
    ...checkStops(ledgers, orders),
  ];
}

function evaluateRecords(records: readonly LedgerRecord[]): readonly EvaluatedRecord[] {
  const fold = new FleetFold();
  let newestClaim = -1;
  return records.flatMap(({offset, atMs, payload}) => {
    const record = decodeRecord(payload);
    fold.applyRecord({offset, record, atMs});
    const {isAccepted} = fold.getLastResult();
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

function checkLoadTokens(loads: readonly LedgerLoad[]): Violations {
  return loads.flatMap(({instanceId, fencingToken}, index) => {
    const earlier = loads.slice(0, index);
    const isOutdated = earlier.some(load => load.fencingToken > fencingToken);
    const isDuplicate = earlier.some(load => load.instanceId === instanceId);
    return [
      ...(isOutdated ? [`the load of ${instanceId} came from an earlier lease holder`] : []),
      ...(isDuplicate ? [`${instanceId} was loaded twice`] : []),
    ];
  });
}

/** Checks that no vacancy was filled twice: the cloud API starts one instance per client token, so that two tokens start two. */
function checkStarts({starts}: PlatformLedgers): Violations {
  const vacancies = starts.map(({clientToken}) =>
    clientToken.slice(0, clientToken.lastIndexOf('/')),
  );
  return vacancies
    .filter((vacancy, index) => vacancies.indexOf(vacancy) !== index)
    .map(vacancy => `${vacancy} was filled twice`);
}

function checkStops({stops}: PlatformLedgers, orders: readonly EvaluatedRecord[]): Violations {
  return stops.flatMap(({instanceId, atMs}) => {
    const isDrained = orders.some(
      order =>
        order.body.kind === 'instance-drain' &&
        order.body.instanceId === instanceId &&
        order.atMs <= atMs,
    );
    return isDrained ? [] : [`${instanceId} was stopped without an accepted drain`];
  });
}
