/**
 What goes wrong with a plain service.

 - `refuse`: answered 503, not run.
 - `fail`: answered 500, not run, though the caller cannot know.
 - `drop-after`: the connection breaks after the effect.
 */
export type ServiceFault = 'refuse' | 'fail' | 'drop-after';
