/** The median of the gateways' wall clocks. */
import t from 'tap';
import {PeerClock} from '../../src/gateway/PeerClock.js';

function createClock(offsetMs: number) {
  const state = {nowMs: 0, offsetMs};
  const clock = new PeerClock({
    getWallMs: () => 1_000_000 + state.nowMs + state.offsetMs,
    getNowMs: () => state.nowMs,
  });
  return {clock, state};
}

t.test('PeerClock', t => {
  t.test('a gateway without peers uses its own clock', t => {
    t.equal(createClock(2_000).clock.getWallMs(), 1_002_000);
    t.end();
  });
  t.test("two peers correct this gateway's wrong clock", t => {
    const {clock, state} = createClock(2_000);
    clock.applyPeerReport('g2', 1_000_001);
    clock.applyPeerReport('g3', 1_000_000);
    t.equal(clock.getWallMs(), 1_000_001);
    state.nowMs = 500;
    t.equal(clock.getWallMs(), 1_000_501);
    t.end();
  });
  t.test("a jump of this gateway's clock is corrected at once", t => {
    const {clock, state} = createClock(0);
    clock.applyPeerReport('g2', 1_000_000);
    clock.applyPeerReport('g3', 1_000_000);
    state.offsetMs = -2_500;
    t.equal(clock.getWallMs(), 1_000_000);
    t.end();
  });
  t.test('one peer with a wrong clock has no effect', t => {
    const {clock} = createClock(0);
    clock.applyPeerReport('g2', 1_002_500);
    clock.applyPeerReport('g3', 1_000_003);
    t.equal(clock.getWallMs(), 1_000_000);
    t.end();
  });
  t.test('clocks of unresponsive gateways are ignored', t => {
    const {clock, state} = createClock(2_000);
    clock.applyPeerReport('g2', 1_000_000);
    clock.applyPeerReport('g3', 1_000_000);
    state.nowMs = 2_001;
    t.equal(clock.getWallMs(), 1_004_001);
    t.end();
  });
  t.end();
});
