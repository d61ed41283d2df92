"""``jackdawsail config``: checks settings files without a control host."""

import cyclopts

app = cyclopts.App(name='config', help='Check settings files.')
