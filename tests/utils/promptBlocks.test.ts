/** Tests of the hash chain over prompt blocks. */
import t from 'tap';
import {BLOCK_TOKENS, hashBlocks, renderChatPrompt, splitTokens} from '../../src/utils/index.js';

const WORDS = Array.from({length: 40}, (unused, index) => `w${index}`);

t.test('hashBlocks', t => {
  const hashes = hashBlocks(WORDS);
  t.equal(hashes.length, Math.floor(WORDS.length / BLOCK_TOKENS));
  t.same(hashBlocks([...WORDS.slice(0, 32), 'x']), hashes, 'the rest of a block has no part in it');
  t.not(hashBlocks(['x', ...WORDS.slice(1)])[1], hashes[1], 'a hash stands for all before it');
  t.not(hashBlocks(WORDS, 'v2')[0], hashes[0], 'the seed tells caches apart');
  t.end();
});

t.test('splitTokens', t => {
  t.same(splitTokens(' a  b\nc '), ['a', 'b', 'c']);
  t.same(splitTokens(''), []);
  t.end();
});

t.test('renderChatPrompt', t => {
  const question = {role: 'user', content: 'where is it'};
  const prompt = renderChatPrompt([question]);
  t.equal(prompt, 'user where is it assistant');
  const resumed = renderChatPrompt([question, {role: 'assistant', content: 'in Tema'}]);
  t.equal(resumed, `${prompt} in Tema`, 'a resumed answer extends the prompt');
  t.end();
});
