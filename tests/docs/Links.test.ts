/** Tests that local links in Markdown pages resolve and that docs/operators/refusals.md explains every error kind. */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import t from 'tap';
import {ERROR_RESPONSE_RULES} from '../../src/errors/index.js';

const PAGES = ['README.md', ...listPages('docs'), ...listPages('examples')];
const LINK = /\]\(([^)#]+)(?:#[^)]*)?\)/g;

function listPages(folder: string): readonly string[] {
  return readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.md'))
    .map(name => join(folder, name));
}

t.test('local links point to existing files', t => {
  for (const page of PAGES) {
    t.test(page, t => {
      const targets = [...readFileSync(page, 'utf8').matchAll(LINK)].map(match => match[1] ?? '');
      const local = targets.filter(target => !target.startsWith('http'));
      const broken = local.filter(target => !existsSync(join(dirname(page), target)));
      t.same(broken, []);
      t.end();
    });
  }
  t.end();
});

t.test('every public error kind is explained', t => {
  const page = readFileSync('docs/operators/refusals.md', 'utf8');
  const missing = Object.keys(ERROR_RESPONSE_RULES).filter(kind => !page.includes(`\`${kind}\``));
  const internalOnly = ['invalid-settings', 'invalid-record'];
  t.same(missing, internalOnly);
  t.end();
});
