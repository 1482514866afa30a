"""Self-signed certificates for the stand-ins, generated at start, never stored."""

import datetime
import typing

from aioquic.quic import configuration
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

VALIDITY: typing.Final = datetime.timedelta(days=2)


def load_certificate(target: configuration.QuicConfiguration, name: str) -> None:
    """Add a new key and a self-signed certificate for `name` to a configuration."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
        .sign(key, hashes.SHA256())
    )
    target.certificate = certificate
    target.private_key = key
