/** Proofs that a copy of a log is complete, over any schedule of delays, losses, suspensions and restarts. */
import fc from 'fast-check';
import t from 'tap';
import {ReadProof} from '../../../src/controllers/reading/index.js';

const NODES = 4;
const MAX_DELAY_MS = 20_000;

/** One node of the model: its clock differs from the true time by an offset, and it may have been restarted. */
interface Node {
  proof: ReadProof;
  key: number;
  readonly clockOffsetMs: number;
  /** Stamps that it has received, which its datagrams may return. */
  starts: number;
}

interface Datagram {
  readonly from: number;
  readonly fromKey: number;
  readonly ageMs: number;
  readonly stampMs: number;
  readonly returned: ReadonlyMap<number, number>;
  readonly to: number;
  readonly arrivesAtMs: number;
}

const EVENT = fc.record({
  kind: fc.constantFrom('read', 'send', 'send', 'send', 'restart'),
  node: fc.nat({max: NODES - 1}),
  other: fc.nat({max: NODES - 1}),
  pauseMs: fc.nat({max: 400}),
  delayMs: fc.nat({max: MAX_DELAY_MS}),
});

t.test('no gateway believes its copy to be newer than the last read of any gateway', t => {
  fc.assert(
    fc.property(
      fc.array(EVENT, {minLength: 20, maxLength: 200}),
      fc.array(fc.nat({max: 1_000_000}), {minLength: NODES, maxLength: NODES}),
      (events, offsets) => {
        const nodes: Node[] = offsets.map((clockOffsetMs, index) => ({
          proof: new ReadProof(),
          key: index + 1,
          clockOffsetMs,
          starts: 1,
        }));
        let nowMs = 0;
        let lastReadAtMs = -Infinity;
        let inFlight: Datagram[] = [];
        const deliver = () => {
          const arriving = inFlight.filter(({arrivesAtMs}) => arrivesAtMs <= nowMs);
          inFlight = inFlight.filter(({arrivesAtMs}) => arrivesAtMs > nowMs);
          for (const {to, fromKey, ageMs, stampMs, returned} of arriving) {
            const node = nodes[to];
            const told = {
              peerKey: fromKey,
              ageMs,
              stampMs,
              returnedStampMs: returned.get(node.key),
            };
            node.proof.apply(told, true, nowMs + node.clockOffsetMs);
          }
        };
        for (const {kind, node: index, other, pauseMs, delayMs} of events) {
          nowMs += pauseMs;
          deliver();
          const node = nodes[index];
          const clockMs = nowMs + node.clockOffsetMs;
          if (kind === 'read') {
            lastReadAtMs = nowMs;
            node.proof.addOwnRead(clockMs);
          } else if (kind === 'restart') {
            node.proof = new ReadProof();
            node.starts += 1;
            node.key = index + 1 + NODES * node.starts;
          } else {
            inFlight.push({
              from: index,
              fromKey: node.key,
              ageMs: clockMs - node.proof.provenAtMs,
              stampMs: clockMs,
              returned: node.proof.getStampsToReturn(
                nodes.map(({key}) => key),
                clockMs,
              ),
              to: other,
              arrivesAtMs: nowMs + delayMs,
            });
          }
          for (const {proof, clockOffsetMs} of nodes) {
            if (proof.provenAtMs - clockOffsetMs > lastReadAtMs + 1e-6) return false;
          }
        }
        return true;
      },
    ),
    {numRuns: 500, seed: 26},
  );
  t.end();
});

t.test('a stamp from the future and one of long ago prove nothing', t => {
  const proof = new ReadProof();
  const told = {peerKey: 2, ageMs: 100, stampMs: 7};
  proof.apply({...told, returnedStampMs: 50_001}, true, 50_000);
  t.equal(proof.provenAtMs, -Infinity);
  proof.apply({...told, returnedStampMs: 10_000}, true, 50_000);
  t.equal(proof.provenAtMs, -Infinity);
  proof.apply({...told, returnedStampMs: 49_000}, false, 50_000);
  t.equal(proof.provenAtMs, -Infinity, 'a peer with other records');
  proof.apply({...told, returnedStampMs: 49_000}, true, 50_000);
  t.equal(proof.provenAtMs, 48_900);
  t.end();
});

t.test('stamps are returned to peers whose proofs are older', t => {
  const proof = new ReadProof();
  proof.addOwnRead(9_000);
  proof.apply({peerKey: 2, ageMs: 3_000, stampMs: 77, returnedStampMs: undefined}, true, 9_100);
  proof.apply({peerKey: 3, ageMs: 50, stampMs: 78, returnedStampMs: undefined}, true, 9_100);
  t.same([...proof.getStampsToReturn([2, 3, 4], 9_200)], [[2, 77]]);
  t.same([...proof.getStampsToReturn([3], 9_200)], []);
  t.end();
});
