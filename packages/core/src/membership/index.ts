/** Which VMs are there, and which of them may get work. */
export * from './vm.js';
