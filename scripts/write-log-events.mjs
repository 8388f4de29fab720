// Writes docs/LOG-EVENTS.md from the list of events; run `npm run build` before.
import {writeFileSync} from 'node:fs';
import {renderEventPage} from '../dist/src/logging/renderEventPage.js';

writeFileSync('docs/LOG-EVENTS.md', renderEventPage());
