/** Plays roll-outs of good and bad versions with many seeds, and counts verdicts and exposed requests. */
import {
  crashingServers,
  failing,
  failingLater,
  good,
  killedGateways,
  killedHolder,
  limitedServers,
  nothing,
  playRollout,
  slow,
  storeAway,
  type VersionBehaviour,
  type Disturbance,
  type RolloutResult,
} from '../../tests/support/RolloutPlay.js';

/** Options of `measureRollouts`. */
export interface MeasureRolloutsOptions {
  readonly gatewayCount: number;
  readonly firstSeed: number;
  readonly seeds: number;
}

/** Results of one kind of version beside one disturbance. */
export interface RolloutRow {
  readonly name: string;
  readonly plays: number;
  /** Plays that ended with the wrong verdict, and with none or a wrong one at the deadline. */
  readonly wrong: number;
  readonly notByDeadline: number;
  /** Plays in which the version got more requests than a bad one may, or got them later. */
  readonly overLimit: number;
  readonly exposedMedian: number;
  readonly exposedMost: number;
  readonly badMedian: number;
  readonly badMost: number;
}

interface Kind {
  readonly name: string;
  readonly behaviour: VersionBehaviour;
  readonly disturb: Disturbance;
}

const KINDS: readonly Kind[] = [
  {name: 'fails half of its requests', behaviour: failing, disturb: nothing},
  {name: 'fails them from midway on', behaviour: failingLater, disturb: nothing},
  {name: 'takes four times as long', behaviour: slow, disturb: nothing},
  {name: 'fails, old servers limited', behaviour: failing, disturb: limitedServers},
  {name: 'fails, old servers crash', behaviour: failing, disturb: crashingServers},
  {name: 'fails, duty holder killed', behaviour: failing, disturb: killedHolder},
  {name: 'fails, store away', behaviour: failing, disturb: storeAway},
  {name: 'fails, a third of the gateways killed', behaviour: failing, disturb: killedGateways},
  {name: 'good', behaviour: good, disturb: nothing},
  {name: 'good, old servers crash', behaviour: good, disturb: crashingServers},
  {name: 'good, old servers limited', behaviour: good, disturb: limitedServers},
];

/** Plays all kinds of versions, one after the other. */
export async function measureRollouts(
  options: MeasureRolloutsOptions,
): Promise<readonly RolloutRow[]> {
  const rows: RolloutRow[] = [];
  for (const kind of KINDS) rows.push(await measureKind(kind, options));
  return rows;
}

async function measureKind(
  {name, behaviour, disturb}: Kind,
  {gatewayCount, firstSeed, seeds}: MeasureRolloutsOptions,
): Promise<RolloutRow> {
  const results: RolloutResult[] = [];
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
    results.push(await playRollout({gatewayCount, seed, behaviour, disturb}));
  }
  const expected = behaviour === good ? 'done' : 'rolled-back';
  const exposed = results.map(result => result.exposed);
  const bad = results.map(result => result.badResponses);
  const isOver = ({exposed, allowed, tooLate}: RolloutResult) => exposed > allowed || tooLate > 0;
  return {
    name,
    plays: results.length,
    wrong: results.filter(({finalVerdict}) => finalVerdict?.phase !== expected).length,
    notByDeadline: results.filter(({verdict}) => verdict?.phase !== expected).length,
    overLimit: behaviour === good ? 0 : results.filter(isOver).length,
    exposedMedian: getMedian(exposed),
    exposedMost: Math.max(...exposed),
    badMedian: getMedian(bad),
    badMost: Math.max(...bad),
  };
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}
