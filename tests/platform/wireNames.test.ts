/** Checks that the platform's wire names occur in `platform/` only, so that the other folders don't depend on them. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import t from 'tap';

const FOLDERS = ['src', 'standins', 'scenarios', 'bench'];
const WIRE_NAMES =
  /[xX]-[bB]uckthorngw-|kv-(fetch|from|move|events)|log-(append|newest|read|join)|keyed\.|cold_left_ms|call_seq|path_prefix|goal_ms|rate_per_s|window_seq|zone_prices/;

function listSources(folder: string): readonly string[] {
  return readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts') && !name.includes('generated'))
    .map(name => join(folder, name));
}

t.test('wire names', t => {
  for (const folder of FOLDERS) {
    t.test(`do not occur in ${folder}/`, t => {
      const found = listSources(folder).filter(path => WIRE_NAMES.test(readFileSync(path, 'utf8')));
      t.same(found, []);
      t.end();
    });
  }
  t.end();
});
