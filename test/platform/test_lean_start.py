"""The start of a program does not import what it does not use."""

import subprocess
import sys

IMPORTS = """
import sys
from jackdawsail.platform.lean_start import begin_lean_start
begin_lean_start()
import jackdawsail.platform.programs, jackdawsail.site.running
import jackdawsail.group.program, jackdawsail.proxy.program, jackdawsail.staging.program
from twisted.internet import reactor
print(*{name.partition('.')[0] for name, module in sys.modules.items() if module})
"""


def test_start_of_a_program_imports_no_library_that_it_does_not_use():
    # Guards against an import that brings the TLS libraries or rich back into each start.
    output = subprocess.run([sys.executable, '-c', IMPORTS], check=True, capture_output=True)
    imported = set(output.stdout.decode().split())
    assert 'twisted' in imported
    assert not imported & {'OpenSSL', 'cryptography', 'rich'}
