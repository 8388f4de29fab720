/** The clock that most gateways share. */
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
  t.test('a gateway that hears nobody goes by its own clock', t => {
    t.equal(createClock(2_000).clock.getWallMs(), 1_002_000);
    t.end();
  });
  t.test('a wrong clock gives way to those of two others', t => {
    const {clock, state} = createClock(2_000);
    clock.applyPeer('g2', 1_000_001);
    clock.applyPeer('g3', 1_000_000);
    t.equal(clock.getWallMs(), 1_000_001);
    state.nowMs = 500;
    t.equal(clock.getWallMs(), 1_000_501);
    t.end();
  });
  t.test('a clock that jumps later gives way at once', t => {
    const {clock, state} = createClock(0);
    clock.applyPeer('g2', 1_000_000);
    clock.applyPeer('g3', 1_000_000);
    state.offsetMs = -2_500;
    t.equal(clock.getWallMs(), 1_000_000);
    t.end();
  });
  t.test('one wrong clock among the others moves nothing', t => {
    const {clock} = createClock(0);
    clock.applyPeer('g2', 1_002_500);
    clock.applyPeer('g3', 1_000_003);
    t.equal(clock.getWallMs(), 1_000_000);
    t.end();
  });
  t.test('clocks of gateways that fell silent do not count', t => {
    const {clock, state} = createClock(2_000);
    clock.applyPeer('g2', 1_000_000);
    clock.applyPeer('g3', 1_000_000);
    state.nowMs = 2_001;
    t.equal(clock.getWallMs(), 1_004_001);
    t.end();
  });
  t.end();
});
