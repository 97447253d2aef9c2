/**
 * roarr decides at import whether it logs at all, so this module is imported
 * before it. Without it the daemons run and print nothing.
 */
process.env['ROARR_LOG'] = 'true';
