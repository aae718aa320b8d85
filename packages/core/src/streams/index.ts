/** Streams that callers may take up again, and the software versions that began them. */
export { BegunStreams } from './begunStreams.js';
export type { BegunStream } from './begunStreams.js';
export { STREAM_LIFE_MS } from './constants.js';
export { VersionsInUse } from './versionsInUse.js';
export type { RegisteredVersion, VersionSighting } from './versionsInUse.js';
