/** Tests of tokenization, prompt rendering and chained block hashes. */
import t from 'tap';
import {BLOCK_TOKENS, hashBlocks, renderChatPrompt, splitTokens} from '../../src/utils/index.js';

const WORDS = Array.from({length: 40}, (unused, index) => `w${index} `);

t.test('hashBlocks', t => {
  const hashes = hashBlocks(WORDS);
  t.equal(hashes.length, Math.floor(WORDS.length / BLOCK_TOKENS));
  t.same(
    hashBlocks([...WORDS.slice(0, 32), 'x']),
    hashes,
    'tokens after the last complete block are ignored',
  );
  t.not(
    hashBlocks(['x', ...WORDS.slice(1)])[1],
    hashes[1],
    'a hash depends on all preceding blocks',
  );
  t.match(hashes[0], /^[0-9a-f]{16}$/);
  t.end();
});

t.test('splitTokens', t => {
  t.same(splitTokens(' a  b\nc '), [' ', 'a  ', 'b\n', 'c ']);
  t.equal(splitTokens(' a  b\nc ').join(''), ' a  b\nc ');
  t.same(splitTokens(''), []);
  t.end();
});

t.test('renderChatPrompt', t => {
  const prompt = renderChatPrompt([{role: 'user', content: 'where is it'}]);
  t.equal(prompt, '<user>\nwhere is it\n<assistant>\n');
  t.end();
});
