/** Tests of `PrefixIndex` with cache events that have gaps. */
import fc from 'fast-check';
import t from 'tap';
import {PrefixIndex, type CacheEvent} from '../../../src/controllers/routing/index.js';

const SEED = 20_261_209;
const OPTIONS = {expiryMs: 10_000, unconfirmedMs: 1_000, maxBlocks: 100};

function createSlice(fromSequence: number, events: readonly CacheEvent[], nextSequence: number) {
  return {fromSequence, events, nextSequence, earliestSequence: 0};
}

function createStoredEvent(sequence: number, blockHash: string): CacheEvent {
  return {sequence, kind: 'stored', blockHash};
}

t.test('PrefixIndex', t => {
  t.test('counts the tokens of a prefix up to its first missing block', t => {
    const index = new PrefixIndex(OPTIONS);
    index.applyEvents(
      'a',
      createSlice(0, [createStoredEvent(0, 'x'), createStoredEvent(1, 'z')], 2),
      0,
    );
    t.equal(index.getCachedTokens('a', ['x', 'y', 'z'], 1), 16);
    t.equal(index.getCachedTokens('b', ['x'], 1), 0);
    t.end();
  });
  t.test('expires a block of a sent prompt that no event confirms', t => {
    const index = new PrefixIndex(OPTIONS);
    index.recordPrompt('a', ['x'], 0);
    t.equal(index.getCachedTokens('a', ['x'], 999), 16);
    t.equal(index.getCachedTokens('a', ['x'], 1_000), 0);
    t.end();
  });
  t.test('shortens the expiry of all blocks after a gap, until events confirm them', t => {
    const index = new PrefixIndex(OPTIONS);
    index.applyEvents(
      'a',
      createSlice(0, [createStoredEvent(0, 'x'), createStoredEvent(1, 'y')], 2),
      0,
    );
    t.match(index.applyEvents('a', createSlice(2, [createStoredEvent(5, 'y')], 6), 0), {
      hasGap: true,
    });
    t.equal(index.getCachedTokens('a', ['x', 'y'], 999), 32);
    t.equal(index.getCachedTokens('a', ['x', 'y'], 1_000), 0, 'x may have been removed in the gap');
    t.equal(index.getCachedTokens('a', ['y'], 1_000), 16, 'y was stored after the gap');
    t.end();
  });
  t.test('removes all blocks of a cleared cache and of a restarted server', t => {
    const index = new PrefixIndex(OPTIONS);
    index.applyEvents(
      'a',
      createSlice(0, [createStoredEvent(0, 'x'), {sequence: 1, kind: 'cleared'}], 2),
      0,
    );
    t.equal(index.getCachedTokens('a', ['x'], 1), 0);
    index.applyEvents('a', createSlice(2, [createStoredEvent(2, 'x')], 3), 0);
    t.match(index.applyEvents('a', createSlice(3, [], 0), 0), {isCleared: true});
    t.equal(index.getCachedTokens('a', ['x'], 1), 0);
    t.end();
  });
  t.test('holds the same blocks as the server while no event is lost', t => {
    const eventArbitrary = fc.record({
      kind: fc.constantFrom(
        'stored' as const,
        'stored' as const,
        'removed' as const,
        'cleared' as const,
      ),
      blockHash: fc.integer({min: 0, max: 30}).map(String),
    });
    fc.assert(
      fc.property(
        fc.array(eventArbitrary, {maxLength: 200}),
        fc.integer({min: 1, max: 9}),
        (raw, size) => {
          const index = new PrefixIndex(OPTIONS);
          const events = raw.map((event, sequence) => ({...event, sequence}));
          for (let start = 0; start < events.length; start += size) {
            const batch = events.slice(start, start + size);
            index.applyEvents('a', createSlice(start, batch, start + batch.length), 0);
          }
          const cachedHashes = new Set<string>();
          for (const {kind, blockHash} of events) {
            if (kind === 'stored') cachedHashes.add(blockHash);
            if (kind === 'removed') cachedHashes.delete(blockHash);
            if (kind === 'cleared') cachedHashes.clear();
          }
          const isIndexedCorrectly = (hash: string) =>
            index.getCachedTokens('a', [hash], 1) === (cachedHashes.has(hash) ? 16 : 0);
          return Array.from({length: 31}, (unused, i) => String(i)).every(isIndexedCorrectly);
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
    t.end();
  });
  t.test('keeps at most maxBlocks blocks of a server', t => {
    const index = new PrefixIndex(OPTIONS);
    for (let i = 0; i < 500; i++) index.recordPrompt('a', [String(i)], 0);
    t.equal(index.getBlockCount(), OPTIONS.maxBlocks);
    t.end();
  });
  t.end();
});
