export { trackCaller } from './callerConnection.js';
